#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 review/bin/review leave review/4/record.txt
code=$?
exit $((code > 1 ? 2 : code))
