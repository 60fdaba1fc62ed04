#!/bin/sh
# Builds the stand-ins of the third review. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/stand-ins-3/main.rs
