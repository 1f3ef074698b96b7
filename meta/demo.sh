#!/usr/bin/env bash
# Started by `meta/agaterun.sh demo` once all is built.
set -euo pipefail
exec python3 "$(dirname "$0")/demo.py"
