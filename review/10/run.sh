#!/bin/sh
# Writes record.txt beside this file, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of deploy/balancer.toml and review/build-2.sh.
HERE=$(cd "$(dirname "$0")" && pwd) || exit 2
. "$HERE/../stand-ins-2/run.sh"
