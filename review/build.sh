#!/bin/bash
# Builds the stand-ins of every case, with the compiler alone. The programs of the project are built by the command of
# deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
mkdir -p standin/build
for case in [0-9]; do
    rustc --edition 2021 -O -o "standin/build/case-$case" "$case/case.rs"
done
