#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain modules for Node.js in
# review/lib-2 with no dependencies: nothing is compiled, only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
