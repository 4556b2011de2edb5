#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/trial ./review/testdata/trial
