#!/bin/sh
# Builds the stand-ins of the second review. They are plain CommonJS without
# dependencies, so each of them is only checked.
set -e
cd "$(dirname "$0")"
node --check fleet-2.cjs
for case in 6 7 8 9 10; do
  if [ -f "$case/run.cjs" ]; then node --check "$case/run.cjs"; fi
done
