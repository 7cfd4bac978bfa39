#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml
