#!/usr/bin/env bash
# Builds the program that plays clients, engines and discovery in the cases of this folder. The node itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/stand ./review/stand
