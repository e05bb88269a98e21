#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they need Python only, so this
# compiles them to find faults before a case starts.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for part in stand_ins_3 11 12 13 14 15; do
  if [ -d "$part" ]; then
    python3 -m compileall -q "$part"
  fi
done
