#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout 115 python3 case.py 2>stderr.txt
status=$?
[ "$status" -le 1 ] && rm -f stderr.txt
[ "$status" -le 1 ] || status=2
exit "$status"
