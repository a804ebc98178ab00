#!/bin/sh
# Builds what the scripts of the cases start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q -f review
