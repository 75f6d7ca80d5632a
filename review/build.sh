#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs of review/lib and platform/tests; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import pathlib
files = [pathlib.Path("platform/tests/standins.py"), *pathlib.Path("review").glob("*/*.py")]
for file in files:
    compile(file.read_text(), str(file), "exec")
print(f"{len(files)} files compile")
PYTHON
