#!/usr/bin/env bash
# Starts the deployment of one user as separate processes, runs its workload, prints
# the report of the load, the replicas and the connection time by caller, and stops
# the processes.
# Usage: [LINKS=1] scripts/demo.sh [silotehnika|volta]. Requires only Go.
set -eu
DEPLOYMENT=${1:-silotehnika}
RATE=${RATE:-100}
DURATION=${DURATION:-10s}
SEED=${SEED:-1}
. "$(dirname "$0")/deployment.sh"

trap stop_deployment EXIT
trap 'exit 130' INT TERM

start_deployment
echo "== the deployment runs: ${#PIDS[@]} processes, logs in $OUT"
bin/labbench load "${ENTRIES[@]}" "${ADMINS[@]}" "${CONTROLS[@]}" "${LINK[@]}" --mix "$DEPLOYMENT" --rate "$RATE" --duration "$DURATION" \
  --seed "$SEED" ${LOAD_OPTIONS:-} --json "$OUT/load.json" --svg "$OUT/load.svg"
echo "== replicas"
operator 'SHOW REPLICAS'
echo "== who held the connections"
operator 'SHOW TIME BY CALLER'
