#!/bin/sh
# Plays one case of the second review: case-2.sh NUMBER. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/.." || exit 2
trial=target/review-2/trial-$1
run_line=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ ! -x "$trial" ] || [ ! -x target/release/pebblevane ] || [ -z "$run_line" ]; then
    echo "build the program as deploy/balancer.toml says, and run review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
# Ends what the trial has started and not ended itself: each process has a file with its number in its name.
clean_up() {
    for mark in "$folder"/pid-*; do
        [ ! -e "$mark" ] || kill -9 "${mark##*/pid-}" 2>/dev/null
    done
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' HUP INT TERM
timeout -k 1 110 "$trial" "review/$1/record.txt" "$folder" "$run_line"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
