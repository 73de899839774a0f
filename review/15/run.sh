#!/usr/bin/env bash
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
target/review-3/case-15 target/heatherrouted review/15/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
