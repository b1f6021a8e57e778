#!/bin/sh
# Builds the stand-ins and cases of the second review: std only, no dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/second.rs
