#!/usr/bin/env bash
# Prepares the stand-ins of the cases in review/6 to review/10. They are plain
# modules of the runtime without packages, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
