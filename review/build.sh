#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They have no dependencies, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
