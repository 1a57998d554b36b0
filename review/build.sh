#!/bin/sh
# Builds what the scripts start beside target/toucanlbd. The stand-ins are Python programs, those in
# tests/edge_standin.py too, so this only checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
for f in tests/edge_standin.py review/lib/deployment.py review/[1-5]/case.py review/more/*/case.py; do
	[ -e "$f" ] || continue
	PYTHONDONTWRITEBYTECODE=1 python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1])" "$f"
done
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path[:0] = ['review/lib']; import deployment"
