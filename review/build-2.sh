#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS= GOWORK=off go build -buildvcs=false -o target/caserun ./review/standins-2
