#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (review/6 to review/10) into bin/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review2 -o bin/stand-2 ./review/stand-2
