#!/bin/sh
# The stand-ins of review/4 to review/8 are Python (tools/soaklib and each case's run.py); nothing has to be compiled.
# This checks that the interpreter is there and that the scripts can be read.
set -e
cd "$(dirname "$0")/.."
for it in tools/soaklib/*.py review/4/run.py review/5/run.py review/6/run.py review/7/run.py review/8/run.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
