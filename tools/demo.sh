#!/usr/bin/env bash
# demo.sh [--deployment magnolia|sangat-austral] [--seconds N]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
"$here/build.sh"
exec python3 "$here/demo.py" "$@"
