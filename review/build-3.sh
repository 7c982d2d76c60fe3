#!/bin/bash
# Builds every stand-in of the third review into target/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-third ./review/platform/third
