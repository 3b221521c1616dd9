#!/usr/bin/env bash
# Prepares the stand-ins of the cases from review/11 on. They are plain modules of
# the runtime without packages, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib3/*.mjs 1[1-9]/case.mjs; do
  node --check "$file"
done
