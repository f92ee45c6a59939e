#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. They use the standard library
# only, and start the program that the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-3/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-3/$name" "$source"
done
