#!/usr/bin/env bash
# Runs the case.py of a folder. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")/../$1" || exit 2
timeout --kill-after=3 116 python3 case.py
case $? in
10) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
