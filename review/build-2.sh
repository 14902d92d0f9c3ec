#!/bin/bash
# Builds the stand-ins of the cases 6 to 10.
cd "$(dirname "$0")/standin-2" && go build -o ../../target/review-2/play .
