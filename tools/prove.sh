#!/usr/bin/env bash
# prove.sh PROPERTY|all|list: checks guarantees with real processes under failures.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
"$here/build.sh" >/dev/null 2>&1
exec python3 "$here/prove.py" "$@"
