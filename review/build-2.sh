#!/bin/sh
# Builds what the scripts review/6 to review/10 start besides the programs of
# deploy/system.toml: nothing. Their stand-ins are Python programs that use the
# standard library only; this checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/cell2.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py \
    testing/soak/http_stub.py testing/soak/store.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
