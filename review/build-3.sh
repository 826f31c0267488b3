#!/bin/sh
# Compiles the stand-ins of the third review. They need Python 3.11 alone; the
# programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib-3/*.py 1[1-5]/run.py
