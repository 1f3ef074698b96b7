#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
