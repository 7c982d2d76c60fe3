#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/platform/standin
