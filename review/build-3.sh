#!/usr/bin/env bash
# Checks the stand-ins that the scripts of review/11 to review/15 start. They are plain
# modules of Node.js in review/kit-3 and need no compiler.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
