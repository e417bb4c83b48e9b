#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain scripts; this checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
