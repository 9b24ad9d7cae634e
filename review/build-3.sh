#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start beside the programs of the
# deploy file. Their stand-ins need Python's standard library only, so this checks that
# they compile; it writes nothing outside target/.
set -eu
cd "$(dirname "$0")/.."
for source in review/lib3/*.py review/1[1-5]/*.py; do
  [ -f "$source" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
[ -d target/deps/bergamotferry_platform ] || echo "target/deps is missing: run deploy/build.sh first"
