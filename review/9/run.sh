#!/bin/sh
# Plays the case once; exit code 0: the rule held, 1: it was broken, 2: it couldn't run.
exec python3 "$(dirname "$0")/run.py"
