#!/bin/sh
# Builds what the scripts in review/rig3/findings start beside the program under review.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/rig3 ./review/rig3
go build -tags review -o target/rig4 ./review/rig4
