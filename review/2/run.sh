#!/usr/bin/env bash
# Runs the case. 1 = the rule was broken, 0 = it held, 2 = the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x bin/dillroute ] || { echo "build first: the deploy file's build line, then review/build.sh"; exit 2; }
exec review/bin/stand comment review/2/record.txt
