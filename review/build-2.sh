#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2.rs
