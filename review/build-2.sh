#!/bin/sh
# Builds what the scripts of the second review start, besides the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o bin/review-rig2 ./review/rig2
