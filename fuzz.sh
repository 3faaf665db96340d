#!/usr/bin/env bash
# Runs every fuzz target in turn: fuzz.sh [TIME], where TIME is the duration for
# each target (default 30s).
set -euo pipefail
cd "$(dirname "$0")"
for target in ./document:FuzzParse ./settings:FuzzParse ./frontend:FuzzRequest ./member:FuzzOpen \
  ./gateway:FuzzEvents ./platform:FuzzDecoders ./platform:FuzzEventsOfAWatch; do
  go test -run xxx -fuzz "^${target#*:}\$" -fuzztime "${1:-30s}" "${target%:*}"
done
