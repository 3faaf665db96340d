#!/usr/bin/env bash
# Runs the case and writes review/2/record.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/seamedge ] && [ -x target/review/case-2 ] || exit 2
exec target/review/case-2 review/2/record.txt
