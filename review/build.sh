#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The instances are built by the
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
