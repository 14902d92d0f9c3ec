#!/usr/bin/env bash
# Builds the stand-ins of the review, after the build line of deploy/system.toml. It needs no
# module besides the standard library.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS='' GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-standin .
