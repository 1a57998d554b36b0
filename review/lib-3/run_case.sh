#!/bin/sh
# Runs case.py of a case's folder; 0: the rule held, 1: broken, 2: the case could not run.
set -u
[ -x "$(dirname "$0")/../../target/toucanlbd" ] || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 115 python3 "$1/case.py"
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
