#!/usr/bin/env bash
# report.sh OUT.html [FILE]: plots the policy benchmark's results from FILE, or from a new run without FILE.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=${1:?usage: report.sh OUT.html [FILE]}
lines=${2:-}
if [ -z "$lines" ]; then
  lines=$(mktemp)
  trap 'rm -f "$lines"' EXIT
  "$here/bench.sh" policy >"$lines"
fi
python3 "$here/report.py" "$lines" "$out"
