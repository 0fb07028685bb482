#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and above start. They are plain
# Python without dependencies, so it only checks that each file can be compiled.
cd "$(dirname "$0")" || exit 1
for file in standins/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
