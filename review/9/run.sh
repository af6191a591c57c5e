#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/release/kingcupshiftd ] || exit 2
exec target/review-2/rig models "$folder"
