#!/usr/bin/env bash
# fuzz_targets.sh [RUNS]: runs each libFuzzer target from its corpus with a fixed seed.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
cmake --preset fuzz >/dev/null
cmake --build build-fuzz --target request_fuzz frame_fuzz questionnaire_fuzz settings_fuzz upstream_fuzz
for target in request frame questionnaire settings upstream; do
  scratch=$(mktemp -d)
  build-fuzz/bin/${target}_fuzz -runs="$runs" -seed=1 -max_len=4096 -verbosity=0 \
    -artifact_prefix="$scratch/" "$scratch" "fuzz/corpus/$target"
  rm -rf "$scratch"
  echo "${target}_fuzz: $runs runs without a fault"
done
