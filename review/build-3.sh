#!/bin/sh
# Builds what the cases 11 to 13 start beside the program under review.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/rig3 ./review/rig3
