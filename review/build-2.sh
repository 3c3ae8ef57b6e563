#!/bin/sh
# The stand-ins are scripts for python3 and need no build; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for f in lib-2/*.py [0-9]*/case.py; do
    [ -e "$f" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f" || exit 1
done
