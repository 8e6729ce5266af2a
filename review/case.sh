#!/usr/bin/env bash
# Runs case $1 against target/release/pebblevane, as `review/N/run.sh` does. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out (case.rs).
set -u
number=$1
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
driver=$root/target/review/case$number
fail() { echo "could not run: $1" >&2; exit 2; }
[ -x "$root/target/release/pebblevane" ] || fail "no target/release/pebblevane, build the project first"
if [ ! -x "$driver" ] || [ -n "$(find "$review" -newer "$driver" -name '*.rs')" ]; then
    "$review/build.sh" >&2 || fail "the stand-ins can't be built"
fi
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] || fail "no run line in deploy/balancer.toml"
folder=$(mktemp -d) || fail "no temporary folder"
: >"$folder/pids"
# Ends what is left of the processes that the case has started, known by their configuration.
finish() {
    while read -r pid; do
        if grep -qsF "NODE_CONFIG=$folder/" "/proc/$pid/environ"; then kill -KILL "$pid"; fi
    done <"$folder/pids"
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
ROOT=$root FOLDER=$folder PIDS=$folder/pids RUN=$run RECORD=$review/$number/record.txt \
    timeout --kill-after=3 110 "$driver"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) fail "the driver ended with $status" ;;
esac
