#!/bin/sh
# Builds the stand-ins of the second review, to target/review-2/. It needs rustc alone, no further crates.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for trial in review/*/trial.rs; do
    number=$(basename "$(dirname "$trial")")
    rustc --edition 2021 -O -o "target/review-2/trial-$number" "$trial"
done
