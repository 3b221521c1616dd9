#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain scripts that import nothing
# but Node.js, so building them is a check that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for script in lib/*.mjs */case.mjs; do
  node --check "$script"
done
