#!/bin/sh
# Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gaparch-review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/release/gaparch-review-2 restart-in-outage "$PWD/review/10"
