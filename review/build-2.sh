#!/bin/sh
# Builds the stand-ins of cases 4 and up: Python sources that use the standard library alone.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins2 4 5 6
