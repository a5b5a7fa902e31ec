#!/bin/sh
# The stand-ins are Python files of the standard library alone: they are compiled, so that a broken one shows here.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common 1 2 3
