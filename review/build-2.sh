#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program, with the Rust compiler and its standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release
exec rustc --edition 2021 -O -o target/release/gaparch-review-2 review/stand-ins-2/main.rs
