#!/usr/bin/env bash
# fleet.sh up DIR [--deployment magnolia|sangat-austral] | down DIR
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
if [ "${1:-}" = up ]; then "$here/build.sh" >/dev/null 2>&1; fi
exec python3 "$here/fleet.py" "$@"
