#!/bin/bash
# Builds the stand-ins of all the review's scripts into review/1/bin. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/1/platform"
mkdir -p ../bin
go build -o ../bin/standins .
