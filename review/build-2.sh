#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They use Python's standard library only and
# need no build; this checks that they compile and that the deploy file's build is there.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for folder in ("fleet2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
if not pathlib.Path("../target/deps/msgspec").is_dir():
    sys.exit("target/deps is missing; run the build of the deploy file first")
CHECK
