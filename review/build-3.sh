#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python scripts (standard library alone): nothing to compile.
# The programs of the platform come from the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for script in lib-3/*.py 1[1-5]/*.py; do
    [ -f "$script" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
