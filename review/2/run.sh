#!/bin/sh
# Plays the case. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] || exit 2
exec review/bin/rig draining-replica review/2/record.txt
