#!/bin/bash
# Builds the stand-ins of the scripts into target/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=readonly go build -buildvcs=false -o ../../target/review-standin .
