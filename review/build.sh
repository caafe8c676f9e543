#!/bin/sh
# Builds the stand-ins. They use the standard library only, so this checks them.
set -eu
cd "$(dirname "$0")"
for file in *.py [1-5]/*.py [1-5]/*/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
