#!/usr/bin/env bash
# Starts a deployment and runs one experiment on it.
# Usage: [LINKS=1] scripts/measure.sh EXPERIMENT [silotehnika|volta] [labbench options]
#   crash, freeze  make the primary of the first database fail and measure the gap
#   cost           compare the proxy with a plain relay and a direct connection
#   usage          measure the resource usage of the daemons during the workload
#   outage         run the workload while the platform does not answer
#   partition      run the workload and cut the line between the regions for a while
set -eu
EXPERIMENT=${1:?expected crash, freeze, cost, usage, outage or partition}
DEPLOYMENT=${2:-silotehnika}
shift $(($# < 2 ? $# : 2))
case "$EXPERIMENT" in
cost) SERVICE_TIME=${SERVICE_TIME:-0s} ;;
partition) LINKS=1 ;;
crash | freeze | outage | usage) ;;
*)
  echo "unknown experiment $EXPERIMENT: expected crash, freeze, cost, usage, outage or partition" >&2
  exit 2
  ;;
esac
. "$(dirname "$0")/deployment.sh"

trap stop_deployment EXIT
trap 'exit 130' INT TERM

REPORT=(--mix "$DEPLOYMENT" --json "$OUT/$EXPERIMENT.json" --svg "$OUT/$EXPERIMENT.svg")

start_deployment
case "$EXPERIMENT" in
crash | freeze)
  bin/labbench failover "${ENTRIES[@]}" "${ADMINS[@]}" "${FIRST_CONTROLS[@]}" "${REPORT[@]}" \
    --database "${DATABASES[0]}" --fault "$EXPERIMENT" "$@"
  operator 'SHOW PROMOTIONS'
  ;;
cost)
  # The first three daemons share a failure domain; one of them is the home.
  for i in 0 1 2; do
    echo "== entry$((i + 1))"
    bin/labbench cost "${ENTRIES[@]:2*i:2}" "${REPORT[@]}" --database "${DATABASES[0]}" \
      --target "${TARGET_IPS[0]}:$((TARGET_PORT + TARGET_SHIFT))" "$@"
  done
  ;;
usage)
  bin/labbench load "${ENTRIES[@]}" "${ADMINS[@]}" "${CONTROLS[@]}" "${LINK[@]}" "${REPORT[@]}" \
    --duration 20s "$@" >"$OUT/usage-load.txt" &
  sleep 6
  bin/labbench usage "${ADMINS[@]}" --length 10s
  wait $!
  cat "$OUT/usage-load.txt"
  ;;
outage)
  bin/standin call PUT "$PLATFORM/faults" '{"outage": "silent"}'
  bin/labbench load "${ENTRIES[@]}" "${ADMINS[@]}" "${CONTROLS[@]}" "${LINK[@]}" "${REPORT[@]}" "$@"
  bin/standin call PUT "$PLATFORM/faults" '{"outage": ""}'
  ;;
partition)
  (
    sleep "${CUT_AFTER:-8}"
    bin/standin call PUT "$LINK_CONTROL/lines/regions" '{"cut": "both"}'
    sleep "${CUT_FOR:-5}"
    bin/standin call PUT "$LINK_CONTROL/lines/regions" '{"cut": ""}'
  ) &
  bin/labbench load "${ENTRIES[@]}" "${ADMINS[@]}" "${CONTROLS[@]}" "${LINK[@]}" "${REPORT[@]}" --duration 20s "$@"
  wait $!
  ;;
esac
