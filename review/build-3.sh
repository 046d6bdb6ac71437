#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/9 to review/13 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stage ./review/stage
