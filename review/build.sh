#!/usr/bin/env bash
# Builds what the scripts start beside the daemon: the stand-ins are Python, so
# this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
