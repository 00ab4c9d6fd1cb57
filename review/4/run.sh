#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 110 review/bin/review leave review/4/record.txt
