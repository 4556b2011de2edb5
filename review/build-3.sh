#!/bin/sh
# Builds the stand-ins of the third review. Run it in the repository root, after the build
# line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/testdata/stand3
