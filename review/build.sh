#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs and need nothing but python3 (3.11).
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "python3 3.11 or later is needed"
for each in pathlib.Path(".").rglob("*.py"):
    ast.parse(each.read_text(), str(each))
CHECK
echo "stand-ins are ready"
