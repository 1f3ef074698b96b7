#!/bin/sh
# The stand-ins of the scripts are Python and need no build: checks that they
# can be parsed with the interpreter that the scripts use.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text(), str(path))
PYTHON
