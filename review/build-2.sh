#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/review-standin-2 .
