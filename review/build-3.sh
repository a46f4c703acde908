#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review3 ./review/11/platform
