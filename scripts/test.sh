#!/usr/bin/env bash
# Runs every check of the repository. Requires only Go.
set -u
cd "$(dirname "$0")/.."
failed=0
step() {
  local name=$1
  shift
  echo "== $name"
  if ! "$@"; then
    echo "FAILED: $name"
    failed=1
  fi
}
gofmt_clean() {
  local files
  files=$(gofmt -l .)
  [ -z "$files" ] || { echo "$files"; return 1; }
}
# known_red prints a go test -skip pattern that matches the tests in KNOWN-RED.txt.
# Each entry is one line: TestName | command | seed | seen | issue.
known_red() {
  grep -v '^#' KNOWN-RED.txt 2>/dev/null | cut -d'|' -f1 | sed 's/[[:space:]]//g' | grep . | sed 's/.*/^&$/' | paste -sd'|'
}
print_known_red() {
  echo "== KNOWN-RED.txt"
  grep -v '^#' KNOWN-RED.txt | grep . || echo "none"
}
run_tests() {
  local skip
  skip=$(known_red)
  if [ -n "$skip" ]; then
    go test -race -count=1 -skip "$skip" ./...
  else
    go test -race -count=1 ./...
  fi
}
# run_unraced_tests runs the tests that are built only without the race detector. They
# run hundreds of daemons in one process, which overflows the clocks of the detector.
run_unraced_tests() {
  go test -count=1 -run '^TestPlanned' ./internal/distribution
}
step "gofmt" gofmt_clean
step "vet" go vet ./...
step "staticcheck" go tool staticcheck ./...
step "build" go build ./...
step "tests" run_tests
step "tests without the race detector" run_unraced_tests
print_known_red
if [ "$failed" -ne 0 ]; then
  echo "RESULT: failed"
  exit 1
fi
echo "RESULT: passed"
