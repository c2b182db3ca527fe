#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They are Python programs, so this only
# checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import glob
for path in glob.glob("review/**/*.py", recursive=True) + ["tests/platform_fixture.py",
                                                          "tools/loopback.py"]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
