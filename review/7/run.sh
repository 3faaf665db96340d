#!/usr/bin/env bash
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption. Takes about 90 s.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin2 crash review/7
