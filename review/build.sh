#!/bin/sh
# The stand-ins are Python programs without dependencies: there is nothing to build.
# Checks that this Python can compile them and that the deploy file has been built.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "target/deps is missing: run the build first" >&2; exit 1; }
python3 - review/common/*.py review/[0-9]/*.py <<'EOF'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
EOF
