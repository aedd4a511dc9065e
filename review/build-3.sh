#!/bin/sh
# Checks that all that the scripts of the cases 12 to 14 start can be run: the build of
# the deploy file, and the stand-ins of review/fleet3, which need no other package.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/aiohttp ] || { echo "the build of the deploy file is missing"; exit 2; }
mkdir -p target/review-3 || exit 2
PYTHONPYCACHEPREFIX="$PWD/target/review-3" exec python3 -m compileall -q \
    review/fleet3 review/12 review/13 review/14
