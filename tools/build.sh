#!/usr/bin/env bash
# Installs missing packages and builds all programs; output goes to standard error.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh >&2
cmake --preset release >/dev/null
cmake --build build >&2
