#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which are Python sources that need
# the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2 6 7 8 9 10
