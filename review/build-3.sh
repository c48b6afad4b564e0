#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
