#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")/stand_in"
cargo build --release --locked --target-dir ../../target/review
