#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off GOFLAGS=-mod=mod go build -C review/standin-2 -buildvcs=false -o ../../target/review-2/standin .
