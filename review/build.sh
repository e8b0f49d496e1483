#!/bin/sh
# Builds the stand-in of all scripts into target/. It needs the module cache of the
# project's own build, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
