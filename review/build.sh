#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The project's own
# programs come from the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin ./review/testdata/standin
