#!/usr/bin/env bash
# Checks the stand-ins that the scripts of review/6 to review/10 start: they are Python, so there is
# nothing to compile. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in tests/platform_fixture.py tools/loopback.py review/{6,7,8,9,10}/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
for program in siskindrift-gateway siskindrift-coordinator; do
  [ -x "target/bin/$program" ] || { echo "build the deploy file first: target/bin/$program"; exit 1; }
done
