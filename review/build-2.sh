#!/bin/sh
# Builds every stand-in that a script of this review starts: it compiles them to
# bytecode. They are the Python files of `review/6` to `review/10` and `review/lib2`, and
# need nothing but what the build of the deploy file puts into `target/deps`.
set -eu
cd "$(dirname "$0")/.."
for folder in review/lib2 review/6 review/7 review/8 review/9 review/10; do
  PYTHONPATH=target/deps python3 -m compileall -q "$folder"
done
PYTHONPATH=target/deps:review/lib2 python3 -c "import ahead, cut, fleet, keys, lag, targets"
