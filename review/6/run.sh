#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. Python itself ends with 1 for its own faults, so
# the script says 10 for a broken rule.
cd "$(dirname "$0")" || exit 2
python3 -B run.py &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  code=$?
done
case $code in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
