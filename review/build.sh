#!/bin/sh
# Checks that the stand-ins, which are plain Python, load with the libraries that the
# build of the deploy file has put into target/deps. Nothing has to be built.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import standins"
