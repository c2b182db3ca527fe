#!/usr/bin/env bash
# bench.sh [policy|policy-real|capacity|control|fleet|all]: prints measurements; sets no limits.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
"$here/tools/build.sh" >/dev/null 2>&1
run() {
  case "$1" in
    policy) "$here/build/bin/siskindrift-policy-bench" "${@:2}" ;;
    policy-real) python3 "$here/tools/fleet_bench.py" policy-real ;;
    capacity | control) "$here/build/bin/siskindrift-bench" "$1" ;;
    fleet) python3 "$here/tools/fleet_bench.py" fleet ;;
    *) echo "usage: bench.sh [policy|policy-real|capacity|control|fleet|all]" >&2; exit 2 ;;
  esac
}
if [ "${1:-all}" = all ]; then
  for part in capacity control policy fleet policy-real; do run "$part"; done
else
  run "$@"
fi
