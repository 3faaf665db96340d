#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
mkdir -p target
go build -o target/standin2 ./review/standin2
