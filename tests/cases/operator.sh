#!/bin/sh
# The operators' interface: HTTP paths and the command-line tool.
cd "$(dirname "$0")/../.." || exit 1
exec python3 tests/operator.py
