#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python without packages, so that means to compile
# each file; a stand-in that does not compile fails here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"checked {path}")
CHECK
