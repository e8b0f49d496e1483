#!/usr/bin/env bash
# Builds every stand-in that the scripts of the third review start. It needs no network once
# the modules of the project are there, and runs after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review -o target/review-3/standin3 ./review/standin3
