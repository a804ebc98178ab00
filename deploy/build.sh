#!/bin/sh
# Puts the pinned libraries and the workspace's packages that the roles need under target/.
set -eu
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ] || [ ! "$deps/.libraries" -nt constraints.txt ]; then
  rm -rf "$deps"
  python3 -m pip install -q -c constraints.txt --target "$deps" -r deploy/requirements.txt
  touch "$deps/.libraries"
fi
rm -rf "$deps"/kumquatmux_*
for package in core registry tokens agreement storage settings daemons; do
  cp -r "libs/$package/src/kumquatmux_$package" "$deps/"
done
cp -r platform/src/kumquatmux_platform "$deps/"
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$deps"
