#!/usr/bin/env bash
# Lays the bench's companion files beside our own site files (they are ignored by git).
# usage: deploy/sites/lay.sh [FOLDER WITH THE USERS' SITE FILES]
set -euo pipefail
cd "$(dirname "$0")"
from=${1:-../../../given/kit/more/mass/other}
for name in real.json wire.json unlock.txt; do
  [ -r "$from/$name" ] || { echo "lay.sh: $from/$name is not there: name the folder that holds it" >&2; exit 2; }
  install -m 0644 "$from/$name" "$name"
done
