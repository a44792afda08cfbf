#!/bin/sh
# Compiles the stand-ins; they need Python 3.11 and nothing else.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins
