#!/bin/bash
# Builds the stand-ins of the review's scripts into review/bin. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins"
mkdir -p ../bin
go build -o ../bin/standins ./platform
