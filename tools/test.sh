#!/usr/bin/env bash
# Installs, builds and runs all tests. Exits non-zero on any failure.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake --preset release
cmake --build build
# Tests of real processes depend on timing, so CTest runs them serially (RUN_SERIAL).
ctest --test-dir build --output-on-failure -j 4
tools/fuzz_targets.sh
