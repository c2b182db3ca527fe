#!/usr/bin/env bash
# Checks the formatting of all C++ files, lints the core and platform packages, and checks the documents.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | grep -v generated | xargs clang-format --dry-run --Werror
git ls-files 'src/core/*.cpp' 'src/consensus/*.cpp' 'src/state/*.cpp' 'src/control/*.cpp' \
  'src/membership/*.cpp' 'src/routing/*.cpp' 'src/engines/*.cpp' 'src/requests/*.cpp' \
  'src/fleet/*.cpp' 'src/gateway/*.cpp' 'src/adapters/*.cpp' 'platform/*.cpp' |
  grep -v _test.cpp | xargs -P 8 -n 2 clang-tidy -p build --quiet
python3 tools/check_docs.py
