#!/usr/bin/env bash
# Measures every slope that docs/CAPACITY.md is worked out from, and writes the
# page's table anew. Takes some minutes; leave the machine idle meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -run xxx -bench 'Fleet/hosts=2300|RealHosts/hosts=36|InForce/hosts=(12|384)$|Following' \
  -benchtime 1x ./member ./config | tee "$out"
go test -run xxx -bench 'Decision/upstreams=100$|Observe/upstreams=100$|Take|Settle|Stream' \
  -benchtime 300ms ./policy ./limit ./upstream ./attempt | tee -a "$out"
go test -run xxx -bench 'PipelineThroughput|IdleHostMemory' -benchtime 2s . | tee -a "$out"
go run ./cmd/seamcapacity <"$out"
