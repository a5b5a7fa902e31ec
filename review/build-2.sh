#!/bin/sh
# Builds what the scripts of the second review start beside the project's own programs: stand-ins in Python,
# which need nothing but the standard library.  The project's programs come from the build of deploy/system.toml.
cd "$(dirname "$0")/.." && python3 -m py_compile review/tier_2/*.py review/[4-8]/case.py
