#!/bin/sh
# Builds the stand-ins that the cases start. They use only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/standins.py
for case in [0-9]*/case.py; do
  python3 -m py_compile "$case"
done
