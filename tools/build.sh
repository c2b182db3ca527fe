#!/usr/bin/env bash
# Installs what is missing and builds the programs, quietly.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh >&2
cmake --preset release >/dev/null
cmake --build build >&2
