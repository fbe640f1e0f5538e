#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs without dependencies, so this only checks them.
cd "$(dirname "$0")" || exit 2
exec python3 - lib/*.py [0-9]*/*.py <<'P'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
P
