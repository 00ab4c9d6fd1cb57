#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in this folder. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/tool"
go build -o ../bin/review .
