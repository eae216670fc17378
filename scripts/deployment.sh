# Functions that run one deployment as separate processes. Other scripts set
# DEPLOYMENT to silotehnika or volta and source this file.
#
# start_deployment builds the binaries into bin/, starts the stand-ins and eight
# daemons, and applies the example file. It sets ENTRIES, ADMINS, CONTROLS and
# FIRST_CONTROLS (the controls of the first database) to labbench options.
# stop_deployment stops the started processes by process id. With LINKS=1 all traffic
# passes through relays that simulate the latencies and the bandwidth limit of the
# deployment, and LINK holds the labbench option with their control address.

cd "$(dirname "${BASH_SOURCE[0]}")/.."

OUT=${OUT:-out/${DEPLOYMENT}}
SERVICE_TIME=${SERVICE_TIME:-2ms}
APPLY_DELAY=${APPLY_DELAY:-50ms}
TOKEN_KEY="demo:$(printf '%064d' 7)"
SECRET="demo-duty"
LINKS=${LINKS:-0}
PIDS=()

case "$DEPLOYMENT" in
silotehnika)
  EXAMPLE=examples/slavonska-silotehnika.lab
  DOMAINS=(osijek vukovar split)
  DATABASES=(silo1 silo2 silo3)
  TARGET_IPS=(127.0.0.11 127.0.0.12 127.0.0.13)
  VM_IPS=(127.0.0.31 127.0.0.32 127.0.0.33 127.0.0.34 127.0.0.35 127.0.0.36 127.0.0.37 127.0.0.38)
  PLATFORM=127.0.0.30:7000
  TARGET_PORT=6001
  CONNECTIONS=20
  DOMAIN_DELAY_MS=1.5
  ;;
volta)
  EXAMPLE=examples/volta-conduit-trust.lab
  DOMAINS=(tema kaneshie kumasi)
  DATABASES=(duct1 duct2 duct3)
  TARGET_IPS=(127.0.0.21 127.0.0.22 127.0.0.23)
  VM_IPS=(127.0.0.41 127.0.0.42 127.0.0.43 127.0.0.44 127.0.0.45 127.0.0.46 127.0.0.47 127.0.0.48)
  PLATFORM=127.0.0.40:7000
  TARGET_PORT=6101
  CONNECTIONS=40
  DOMAIN_DELAY_MS=0.5
  ;;
*)
  echo "unknown deployment $DEPLOYMENT: expected silotehnika or volta" >&2
  exit 2
  ;;
esac

# Ports to connect to for callers, daemons and the platform, and ports that the
# processes listen on. They differ if the traffic passes through relays.
CALLER_PORT=6432
PEER_PORT=6433
PLATFORM_LISTEN=$PLATFORM
TARGET_SHIFT=0
LINK=()
if [ "$LINKS" = 1 ]; then
  CALLER_PORT=6532
  PEER_PORT=6533
  PLATFORM_LISTEN=${PLATFORM%:*}:17000
  TARGET_SHIFT=10000
  LINK_CONTROL=${PLATFORM%:*}:7500
  LINK=(--link "$LINK_CONTROL")
fi

# domain_of I prints the failure domain of daemon I, counted from 0: the first two
# domains have three daemons each, the third has two.
domain_of() {
  echo "${DOMAINS[$(($1 / 3))]}"
}

# link_config prints the configuration of the link stand-in as JSON: the places, lines
# and relays of the deployment.
link_config() {
  local d k i
  echo '{"places": [{"name": "clients", "addresses": ["127.0.0.1"]}'
  for k in 0 1 2; do
    echo ", {\"name\": \"${DOMAINS[k]}\", \"addresses\": [\"${TARGET_IPS[k]}\""
    for i in 0 1 2 3 4 5 6 7; do
      if [ "$(domain_of "$i")" = "${DOMAINS[k]}" ]; then echo ", \"${VM_IPS[i]}\""; fi
    done
    echo "]}"
  done
  echo '], "lines": ['
  echo "{\"name\": \"clients\", \"a\": [\"clients\"], \"b\": [\"${DOMAINS[0]}\", \"${DOMAINS[1]}\", \"${DOMAINS[2]}\"], \"delay_ms\": 1},"
  echo "{\"name\": \"domains\", \"a\": [\"${DOMAINS[0]}\"], \"b\": [\"${DOMAINS[1]}\"], \"delay_ms\": $DOMAIN_DELAY_MS},"
  echo "{\"name\": \"regions\", \"a\": [\"${DOMAINS[0]}\", \"${DOMAINS[1]}\"], \"b\": [\"${DOMAINS[2]}\"], \"delay_ms\": 30, \"megabits_per_second\": 30}"
  echo '], "relays": ['
  relay_config tcp "$PLATFORM" "$PLATFORM_LISTEN" "${DOMAINS[0]}"
  for k in 0 1 2; do
    for d in 0 1 2; do
      echo ","
      relay_config tcp "${TARGET_IPS[k]}:$((TARGET_PORT + d))" "${TARGET_IPS[k]}:$((TARGET_PORT + d + TARGET_SHIFT))" "${DOMAINS[k]}"
    done
  done
  for i in 0 1 2 3 4 5 6 7; do
    echo ","
    relay_config tcp "${VM_IPS[i]}:$CALLER_PORT" "${VM_IPS[i]}:6432" "$(domain_of "$i")"
    echo ","
    relay_config udp "${VM_IPS[i]}:$PEER_PORT" "${VM_IPS[i]}:6433" "$(domain_of "$i")"
    echo ","
    relay_config tcp "${VM_IPS[i]}:$PEER_PORT" "${VM_IPS[i]}:6433" "$(domain_of "$i")"
  done
  echo ']}'
}

relay_config() {
  echo "{\"network\": \"$1\", \"listen\": \"$2\", \"to\": \"$3\", \"place\": \"$4\"}"
}

# start NAME COMMAND... starts a background process that logs to OUT/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$OUT/$name.log" 2>&1 &
  PIDS+=($!)
}

# stop_deployment stops every started process in reverse order, so the daemons first,
# and waits for all of them.
stop_deployment() {
  local i
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
    kill "${PIDS[i]}" 2>/dev/null || true
  done
  for ((i = 0; i < ${#PIDS[@]}; i++)); do
    wait "${PIDS[i]}" 2>/dev/null || true
  done
  PIDS=()
}

build_binaries() {
  go build -o bin/ ./cmd/laburnumrack ./cmd/standin ./cmd/labbench
}

# start_targets starts three instances per database, one in each failure domain. The
# first instance of each database is its primary.
start_targets() {
  local d k name listen control
  for d in 0 1 2; do
    for k in 0 1 2; do
      name="${DATABASES[d]}-$(printf '%s' abc | cut -c$((k + 1)))"
      listen="${TARGET_IPS[k]}:$((TARGET_PORT + d + TARGET_SHIFT))"
      control="${TARGET_IPS[k]}:$((TARGET_PORT + 1000 + d))"
      CONTROLS+=(--control "$control")
      if [ "$d" -eq 0 ]; then FIRST_CONTROLS+=(--control "$control"); fi
      if [ "$k" -eq 0 ]; then
        start "$name" bin/standin target --name "$name" --listen "$listen" --control "$control" \
          --connections "$CONNECTIONS" --service-time "$SERVICE_TIME" --primary-term 1
      else
        start "$name" bin/standin target --name "$name" --listen "$listen" --control "$control" \
          --connections "$CONNECTIONS" --service-time "$SERVICE_TIME" --apply-delay "$APPLY_DELAY" \
          --follow "${TARGET_IPS[0]}:$((TARGET_PORT + d))"
      fi
    done
  done
}

# start_daemons adds eight VMs to the platform's list and starts a daemon for each.
start_daemons() {
  local i domain ip
  for i in 0 1 2 3 4 5 6 7; do
    domain=$(domain_of "$i")
    ip=${VM_IPS[i]}
    bin/standin vm --platform "$PLATFORM" --name "entry$((i + 1))" --address "$ip:$PEER_PORT" --failure-domain "$domain"
    start "entry$((i + 1))" bin/laburnumrack serve --vm-name "entry$((i + 1))" --failure-domain "$domain" \
      --caller-listen "$ip:6432" --peer-listen "$ip:6433" --admin-listen "$ip:6434" \
      --platform-url "http://$PLATFORM" --peer-insecure-shared-secret demo --token-key "$TOKEN_KEY" \
      --bootstrap-secret "$SECRET"
    ENTRIES+=(--entry "$ip:$CALLER_PORT")
    ADMINS+=(--admin "$ip:6434")
  done
}

# operator ARGS... runs ctl with the bootstrap secret against the daemons 0 and 3, which
# are in different failure domains.
operator() {
  LABURNUMRACK_ADMIN="${VM_IPS[0]}:6434,${VM_IPS[3]}:6434" bin/laburnumrack ctl --secret "$SECRET" "$@"
}

# wait_for COMMAND... repeats a command until it succeeds, at most 150 times with
# pauses of 0.2 seconds. It prints the output of the last attempt if all fail.
wait_for() {
  local tries=0
  until "$@" >"$OUT/wait.log" 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -ge 150 ]; then
      echo "timed out waiting for: $*" >&2
      cat "$OUT/wait.log" >&2
      return 1
    fi
    sleep 0.2
  done
}

start_deployment() {
  ENTRIES=()
  ADMINS=()
  CONTROLS=()
  FIRST_CONTROLS=()
  mkdir -p "$OUT"
  build_binaries
  if [ "$LINKS" = 1 ]; then
    link_config >"$OUT/link.json"
    start link bin/standin link --config "$OUT/link.json" --control "$LINK_CONTROL"
  fi
  start platform bin/standin platform --listen "$PLATFORM_LISTEN"
  start_targets
  wait_for bin/standin vm --platform "$PLATFORM" --name entry1 --address "${VM_IPS[0]}:$PEER_PORT" --failure-domain "${DOMAINS[0]}"
  start_daemons
  wait_for operator -f "$EXAMPLE"
  wait_for bin/labbench ready "${ENTRIES[@]}" --mix "$DEPLOYMENT"
}
