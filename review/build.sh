#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are plain JavaScript for Node.js
# without dependencies, so that there is only their syntax to check. The scripts read TROUBLE.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
