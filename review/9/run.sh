#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/casetool ] && [ -x target/currantledge ] || exit 2
exec target/review-2/casetool shortCounts target/currantledge review/9/record.txt
