#!/usr/bin/env bash
# Runs the case once: exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollensail ] && [ -x target/review-2/lab2 ] || exit 2
exec target/review-2/lab2 quota-twice review/10/record.txt
