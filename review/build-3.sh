#!/usr/bin/env bash
# Builds the stand-ins and the harness of the scripted cases 11 to 15 into target/, after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
mkdir -p target
go build -trimpath -o target/harness3 ./review/harness3
