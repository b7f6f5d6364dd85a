#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are
# Python programs of the standard library, in lib-2/; nothing else is needed
# than python3 and the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' lib-2/deployment.py [6-9]/*.py 10/*.py
