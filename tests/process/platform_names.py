#!/usr/bin/env python3
"""Guards against names of the users' platform spreading outside platform/."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAMES = re.compile(r"X-Lacewinglb-|rows-(tx|get|feed)|/-/(order|report|resolve|readiness)|fencing_token|precondition\""
    r"|cold_(start_s|per_s|remaining_ms)")


def main():
    found = []
    for path in sorted((ROOT / "src").rglob("*")):
        if path.suffix not in (".h", ".cc"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    if found:
        sys.exit("names of the platform outside platform/:\n" + "\n".join(found))


if __name__ == "__main__":
    main()
