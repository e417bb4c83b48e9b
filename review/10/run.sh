#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/oleanderfront.cjs ] || { echo 'run the build of deploy/system.toml first'; exit 2; }
exec node review/10/play.mjs
