#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header from schema/inner.fbs.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --object-suffix _t --scoped-enums \
  -o include/siskindrift/wire/generated schema/inner.fbs
