#!/usr/bin/env bash
# Builds the stand-ins of the cases with the standard library alone, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.rs; do
    rustc --edition 2024 -O -o "target/review/case$(basename "$(dirname "$source")")" "$source"
done
