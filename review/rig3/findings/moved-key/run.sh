#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../../../.." || exit 2
[ -x target/laburnumrack ] || exit 2
[ -x target/rig3 ] || sh review/build-3.sh || exit 2
exec target/rig3 key-moved review/rig3/findings/moved-key/record.txt
