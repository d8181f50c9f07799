#!/bin/sh
# Builds the stand-ins of this review's scripts. They are Python without
# dependencies, so there is nothing to compile: this checks that they can run.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for file in review/standins-2/*.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "the stand-ins can run: $(python3 --version)"
