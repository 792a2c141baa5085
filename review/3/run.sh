#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
# A case says 3 for a broken rule, since Python itself ends with 1 when it fails.
trap 'kill "$case" 2>/dev/null; wait "$case"; exit 2' TERM INT
python3 "$(dirname "$0")/case.py" &
case=$!
wait "$case"
code=$?
[ "$code" -eq 0 ] && exit 0
[ "$code" -eq 3 ] && exit 1
exit 2
