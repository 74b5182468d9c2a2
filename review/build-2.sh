#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/rig_2/Cargo.toml --target-dir target/review-2
