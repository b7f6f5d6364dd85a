#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$here/../lib"
timeout --signal=TERM --kill-after=5 110 python3 "$here/case.py"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
