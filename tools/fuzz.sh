#!/usr/bin/env bash
# fuzz.sh --minutes M --seed S: runs the stateful fuzz tests for M minutes, with seeds from S on.
set -euo pipefail
minutes=5
seed=1
while [ $# -gt 0 ]; do
  case "$1" in
    --minutes) minutes=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    *) echo "usage: fuzz.sh --minutes M --seed S" >&2; exit 2 ;;
  esac
done
here=$(cd "$(dirname "$0")/.." && pwd)
"$here/tools/build.sh"
end=$((SECONDS + minutes * 60))
while [ "$SECONDS" -lt "$end" ]; do
  for test in control_fuzz_test entry_fuzz_test; do
    echo "$test seed $seed"
    RC_PARAMS="seed=$seed max_success=200" "$here/build/bin/$test"
  done
  seed=$((seed + 1))
done
