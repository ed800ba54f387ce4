#!/bin/sh
# Builds the stand-ins that the scripts of this review start. The deploy file builds the host.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig2 ./review/rig2
