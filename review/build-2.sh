#!/usr/bin/env bash
# Builds the program of the scripted cases 6 to 10 below target/.
set -euo pipefail
cd "$(dirname "$0")/tool-2"
mkdir -p ../../target/review-2
exec go build -buildvcs=false -o ../../target/review-2/casetool .
