#!/bin/sh
# Builds the stand-ins of the cases from 6 on, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in departed revoked restored; do
    rustc --edition 2024 -O -o "target/review-2/$program" "review/standins-2/$program.rs"
done
