#!/bin/sh
# Measures the whole path of both example deployments with separate processes on
# loopback. With the argument "slopes", it runs the benchmarks that
# docs/CAPACITY.md uses instead. It takes under 60 s per deployment and checks
# nothing.
set -eu
cd "$(dirname "$0")/.."

echo "commit $(git rev-parse --short HEAD), $(nproc) cores, load average $(cut -d ' ' -f 1 /proc/loadavg)"

if [ "${1:-}" = slopes ]; then
  for package in coordination/shdirectory coordination/shcontrol transport/shpeer transport/shentry \
    transport/shreplica transport/shstore transport/shaccount; do
    timeout 120 go test -timeout 110s -run '^$' -bench . -benchtime 300ms "./$package"
  done
  exit
fi

go build -o bin/ ./cmd/... ./internal/shbench
for example in huon-ridge leadlight; do
  printf '\n== %s\n' "$example"
  timeout 60 bin/shbench run "$example"
done
