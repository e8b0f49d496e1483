#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberrygate ] && [ -x target/review-standin ] || { echo "build first: the build line of deploy/system.toml, then review/build.sh"; exit 2; }
exec target/review-standin drain review/5/record.txt
