#!/bin/sh
# Install what the entry role needs into target/deps; do nothing where that is up to date.
#
# Libraries come by pip, pinned by constraints.txt, and only when the pins, the interpreter or the
# architecture change: their compiled modules fit one kind of each. The project's own
# packages are copied beside them and compiled, for processes run them from a read-only place.
set -eu
deps=target/deps
pins=target/.pins
built=target/.built
kind=$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
if [ ! -e "$pins" ] || [ "$(cat "$pins")" != "$kind" ] || [ constraints.txt -nt "$pins" ] || [ deploy/requirements.txt -nt "$pins" ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check --target "$deps" \
    -c constraints.txt -r deploy/requirements.txt
  echo "$kind" > "$pins"
  rm -f "$built"
fi
if [ -e "$built" ] && [ -z "$(find libs platform deploy/build.sh -newer "$built" \
    ! -path '*/__pycache__*' ! -path '*.egg-info*' -print | head -n 1)" ]; then
  exit 0
fi
touch "$built.new"
for package in model decisions telemetry wire store forwarding; do
  rm -rf "$deps/berylspindle_$package"
  cp -R "libs/$package/berylspindle_$package" "$deps/"
done
rm -rf "$deps/berylspindle_adapter"
cp -R platform/berylspindle_adapter "$deps/"
python3 -m compileall -q "$deps"/berylspindle_*
mv "$built.new" "$built"
