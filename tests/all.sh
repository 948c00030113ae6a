#!/usr/bin/env bash
# Everything that must hold before a change lands: format, lints, release build, tests.
# The tests include the size and line-length limits of the decision module.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo build --release --locked
cargo test --workspace --locked
