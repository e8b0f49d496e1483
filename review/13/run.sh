#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberrygate ] && [ -x target/review-3/standin3 ] || { echo "not built"; exit 2; }
exec target/review-3/standin3 comes-back review/13/record.txt
