#!/usr/bin/env bash
# Builds the stand-ins of the second review. The programs under test are built by the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/platform/second
