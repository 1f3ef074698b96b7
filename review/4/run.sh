#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
