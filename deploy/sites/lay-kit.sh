#!/usr/bin/env bash
# Lays the bench's own files beside the variants of this folder, so that it can play them. They stay out of the repository.
set -euo pipefail
here=$(dirname "$0")
kit=${1:-$here/../../../given/kit/more/mass/other}
for file in real.json wire.json unlock.txt; do
  install -m 644 "$kit/$file" "$here/$file"
done
