#!/usr/bin/env bash
# Plays the case "cancel" of review/stand-2. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec timeout --preserve-status 118 target/stand-2 case cancel review/10/record.txt
