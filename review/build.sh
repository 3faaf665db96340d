#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
mkdir -p target/review
for case in review/[0-9]*/; do
  if compgen -G "$case*.go" >/dev/null; then
    go build -o "target/review/case-$(basename "$case")" "./$case"
  fi
done
