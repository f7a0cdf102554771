#!/usr/bin/env bash
# Builds the stand-ins and drivers of the third review into target/.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/review-3 .
