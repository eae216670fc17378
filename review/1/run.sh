#!/bin/sh
# Plays the case. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] || exit 2
exec review/bin/rig second-term review/1/record.txt
