#!/bin/sh
# The stand-ins of cases 11 to 15 are plain CommonJS beside the scripts and need
# no build; this checks that they load.
cd "$(dirname "$0")/.." || exit 1
node --check review/rig-3.cjs || exit 1
for file in review/1[1-5]/case.cjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
