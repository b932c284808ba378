#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-standin-2 .
