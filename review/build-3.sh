#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig_3/Cargo.toml --target-dir target/rig-3
