#!/usr/bin/env bash
# Exits with 1 if a cancelled job ran on, 0 if it did not, 2 if the case could not
# run. TROUBLE=0 loses no answer of the store.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-stand -trouble=$trouble -record review/5/record.txt cancel
