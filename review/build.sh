#!/bin/sh
# Builds the stand-ins of the scripts: they need only Python's standard library, so that
# nothing but their syntax is checked.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
