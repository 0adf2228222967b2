#!/bin/sh
# Builds what the cases start beside the program of the deploy file. The stand-ins
# are plain scripts without dependencies, so that there is only a check of them.
set -e
cd "$(dirname "$0")"
test -f ../target/direct.cjs || (cd .. && npm run --silent bundle)
for file in *.cjs */play.cjs; do node --check "$file"; done
echo "the stand-ins are ready"
