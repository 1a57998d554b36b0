#!/bin/sh
# docs/OPERATIONS.md names what the sources have: settings, counters, log events, refusal codes.
cd "$(dirname "$0")/../.." || exit 1
exec python3 tests/test_docs.py
