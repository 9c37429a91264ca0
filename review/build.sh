#!/usr/bin/env bash
# Checks the stand-ins, which are Python programs without dependencies. The gateways come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -c '
import ast, sys
assert sys.version_info >= (3, 9), "python3 is older than 3.9"
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
' standins.py [1-5]/case.py
echo "the stand-ins are ready"
