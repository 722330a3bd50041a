#!/usr/bin/env bash
# Builds what the scripts of review/4 and following start beside the controllers. The stand-ins are
# Python modules in review/lib2; they use aiohttp, which the build of deploy/service.toml puts under
# target/deps. Nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/aiohttp ] || { echo "run the build of deploy/service.toml first" >&2; exit 1; }
PYTHONPATH=target/deps python3 -B -c 'import sys; assert sys.version_info >= (3, 11); import aiohttp'
for file in review/lib2/*.py review/[4-8]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
