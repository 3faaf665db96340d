#!/usr/bin/env bash
# Runs all unit, failure and end-to-end tests under the race detector, except for
# exactly the tests that KNOWN-RED.txt names; these are printed before and after.
set -euo pipefail
cd "$(dirname "$0")"
go run ./internal/runtests
