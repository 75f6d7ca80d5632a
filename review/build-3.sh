#!/usr/bin/env bash
# Checks the stand-ins and programs of the cases 11 to 15, which are scripts: they need no build beyond that of the deploy
# file. Needs nothing but Python 3.11, which deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in platform/tests/standins.py review/lib-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
