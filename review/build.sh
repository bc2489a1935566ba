#!/bin/sh
# The scripts start the daemon that the deploy file builds, and stand-ins written in Python, which need no build.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/lib/bed.py review/[1-5]/case.py
find review -name __pycache__ -prune -exec rm -r {} +
test -x target/src/app/cassiarelayd/cassiarelayd
