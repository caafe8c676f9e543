#!/bin/sh
# Checks the stand-ins of the second review, which need the standard library only. The
# daemons need target/deps, which the build of the deploy file makes.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'END'
import ast, pathlib, sys
for path in (pathlib.Path("review/standins_2.py"), *pathlib.Path("review").glob("[6-9]/*.py"), *pathlib.Path("review").glob("10/*.py")):
    ast.parse(path.read_text())
sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 is needed")
END
