#!/bin/sh
exec python3 "$(dirname "$0")/../load_reports.py"
