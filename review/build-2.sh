#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags reviewcase -o target/review-standin-2 ./review/standin2
