#!/bin/bash
# Plays the case "foreign". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oleanderchute-cell ] && [ -x review/1/bin/standins ] || exit 2
exec review/1/bin/standins foreign review/4
