#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They and the project's own store
# stand-in (testing/soak) are Python programs without dependencies; this checks
# that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for it in review/cell3.py review/1[1-5]/case.py testing/soak/http_stub.py testing/soak/store.py; do
  [ -f "$it" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"
done
