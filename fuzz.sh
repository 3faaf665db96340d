#!/usr/bin/env bash
# Fuzzes every target for a while: fuzz.sh [time for each, such as 30s].
set -euo pipefail
cd "$(dirname "$0")"
for target in ./document:FuzzParse ./settings:FuzzParse ./frontend:FuzzRequest ./member:FuzzOpen \
  ./gateway:FuzzEvents ./platform:FuzzDecoders ./platform:FuzzEventsOfAWatch; do
  go test -run xxx -fuzz "^${target#*:}\$" -fuzztime "${1:-30s}" "${target%:*}"
done
