#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they are Python programs and need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "needs Python 3.11"; exit 1; }
python3 - standin/standin.py */case.py <<'EOF'
import ast, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
EOF
