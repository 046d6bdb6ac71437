#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
