#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-3 .
