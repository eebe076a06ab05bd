#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into target/review. It needs only
# Go; the stand-ins use nothing but the standard library. The entries are built by the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
(cd review/standin && GOWORK=off go build -buildvcs=false -o ../../target/review/standin .)
