#!/bin/sh
# Builds the stand-ins of the scripts. They need only the standard library, and no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
