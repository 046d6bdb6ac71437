#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review-stage ] || [ ! -x target/burdockwood-platform ]; then
  echo "build by the deploy file, then run review/build-3.sh" >&2
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review-stage -case lost-leader -record "$folder/record.txt" -trouble=$trouble
