#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the deploy file's build. Their stand-ins are Python
# programs that need no package; they are compiled to find faults before a script is run.
set -eu
cd "$(dirname "$0")"
python3 - standin-3/*.py 1[1-5]/*.py <<'PROGRAM'
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
