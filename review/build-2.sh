#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are plain Python of the standard
# library, so the build only compiles them, which shows that the interpreter can run them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cp review/standins-2/small_site.py target/review-2/small_site.py
python3 -c 'import py_compile; py_compile.compile("target/review-2/small_site.py", cfile="target/review-2/small_site.check", doraise=True)'
