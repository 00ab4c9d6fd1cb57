#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15. The build of the deploy file has to run before a case.
set -euo pipefail
cd "$(dirname "$0")/tool-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3 .
