#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs, so this checks that each
# of them compiles with the interpreter that runs them.
cd "$(dirname "$0")" || exit 2
exec python3 -B - shared-2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import pathlib
import sys

import tomllib  # The scripts read the deploy file with it.

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(encoding="utf-8"), name, "exec")
CHECK
