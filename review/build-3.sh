#!/bin/sh
# Builds the stand-ins of the scripts of the third review.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/rig3 ./review/rig3
