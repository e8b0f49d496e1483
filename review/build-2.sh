#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the project's own ones that they
# use, into target/review-2/. Needs no network once the deploy file's build has run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/standin2 ./review/standin2
