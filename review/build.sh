#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts, after the build of the deploy file.
# Needs Go and its standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../../target/review/standin .
