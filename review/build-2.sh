#!/bin/sh
# Builds what the scripts of the second review start besides target/toucanlbd. Their stand-ins (the
# project's tests/edge_standin.py and review/lib-2) are Python, so that they are only compiled, as a
# check, into a temporary folder.
set -e
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile tests/edge_standin.py review/lib-2/*.py \
	review/[6-9]/*.py
