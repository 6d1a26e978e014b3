#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
