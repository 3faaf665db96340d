#!/usr/bin/env bash
# Runs all unit, failure and end-to-end tests under the race detector.
set -euo pipefail
cd "$(dirname "$0")"
go test -race -count=1 -timeout 15m ./...
