#!/bin/sh
# Builds what the scripts of this review start, after the build of
# deploy/system.toml. The stand-ins are Python: they are only checked here.
set -e
cd "$(dirname "$0")/.."
test -x target/mustardwickd || {
  echo "target/mustardwickd is missing: run the build of deploy/system.toml" >&2
  exit 2
}
python3 -c '
import ast, pathlib
files = [*pathlib.Path("review").rglob("*.py"),
         pathlib.Path("testing/soak/store.py"),
         pathlib.Path("testing/soak/http_stub.py")]
for it in files:
    ast.parse(it.read_text(), str(it))
print(len(files), "stand-in files checked")
'
