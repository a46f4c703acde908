#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 9 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/6/platform"
go build -o ../../../target/review-2/standin-2 .
