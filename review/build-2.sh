#!/bin/sh
# Builds the stand-ins of the second review, without the network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
