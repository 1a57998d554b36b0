#!/bin/sh
# Builds what the cases 11 to 15 start besides target/toucanlbd: nothing, because their stand-ins are
# Python. Checks that these can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib-3 python3 -c "import site_3"
