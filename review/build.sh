#!/bin/sh
# Build the stand-ins of the scripts: plain Python without dependencies, so compiling is all.
# Runs after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/berylspindle_adapter || { echo "run deploy/build.sh first" >&2; exit 1; }
python3 -m compileall -q review/standins
