#!/bin/sh
# Runs the case; exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." && PYTHONPATH=review exec python3 review/3/run.py
