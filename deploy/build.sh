#!/bin/sh
# Puts the pinned libraries and the workspace's packages that the roles need under target/.
set -eu
deps=target/deps
# Compiled libraries fit one interpreter on one processor; the stamp says which and what.
platform='import sys, sysconfig
if sys.version_info < (3, 11):
    sys.exit("deploy/build.sh: Python 3.11 or newer is needed, python3 is %s" % sys.version.split()[0])
print(sysconfig.get_config_var("SOABI"), sysconfig.get_platform())'
stamp=$(python3 -c "$platform" && cat deploy/requirements.txt constraints.txt)
if [ ! -f "$deps/.libraries" ] || [ "$(cat "$deps/.libraries")" != "$stamp" ]; then
  rm -rf "$deps"
  python3 -m pip install -q -c constraints.txt --target "$deps" -r deploy/requirements.txt
  printf '%s\n' "$stamp" > "$deps/.libraries"
fi
rm -rf "$deps"/kumquatmux_*
for package in core registry placement tokens agreement storage settings daemons; do
  cp -r "libs/$package/src/kumquatmux_$package" "$deps/"
done
cp -r platform/src/kumquatmux_platform "$deps/"
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$deps"
