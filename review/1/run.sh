#!/bin/sh
# Case 1; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/case-1 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/out/case-1 review/1/record.txt
