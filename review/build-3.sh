#!/bin/bash
# Builds the stand-ins of the third review; needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/operator
exec cargo build --release --locked --offline \
    --manifest-path review/standin-3/flows/Cargo.toml --target-dir target/review-3
