#!/bin/sh
# Plays the case against target/pollensail. Exits with 1 if the rule was broken, 0
# if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollensail ] && [ -x target/review-lab ] || exit 2
exec target/review-lab move review/5/record.txt
