#!/usr/bin/env bash
# Builds the stand-in that the scripts start. It needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin
