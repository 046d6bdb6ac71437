#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig
