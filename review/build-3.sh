#!/bin/sh
# Builds the stand-ins of the third review's scripts. The system itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3/standin3 ./review/standin3
