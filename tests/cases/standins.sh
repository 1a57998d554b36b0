#!/bin/sh
# The stand-ins keep the protocols of docs/design.md, section 7, and fail as they are told to.
cd "$(dirname "$0")/../.." || exit 1
exec python3 tests/standins.py
