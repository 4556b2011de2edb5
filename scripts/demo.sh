#!/bin/sh
# Builds the programs, runs the Huon Ridge example as seven daemons and twelve
# stand-in backend servers on loopback addresses, sends requests, kills a daemon
# and sends the same kinds of requests again, prints the account of the requests
# and stops all processes that it started.
set -eu
cd "$(dirname "$0")/.."

data=demo-data/huon-ridge
settings=examples/huon-ridge/settings
rm -rf "$data"
mkdir -p "$data/log" bin
umask 077
printf 'demo-operator-token-%s\n' "$$" > "$data/operator-token"

go build -o bin/ ./cmd/...
sequoiahollow=bin/sequoiahollow
export SEQUOIAHOLLOW_TOKEN_FILE="$data/operator-token"
export SEQUOIAHOLLOW_OPERATOR=127.11.1.1:7403
export SEQUOIAHOLLOW_ENTRY=127.11.2.1:7400

pids=''
stop_all() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  for pid in $pids; do wait "$pid" 2>/dev/null || true; done
  pids=''
}
trap stop_all EXIT
trap 'exit 1' INT TERM

say() { printf '\n== %s\n' "$*"; }

# retry COMMAND runs COMMAND until it succeeds, for 20 s at most.
retry() {
  n=0
  until "$@" > "$data/log/retry" 2>&1; do
    n=$((n + 1))
    if [ "$n" -ge 100 ]; then
      cat "$data/log/retry" >&2
      return 1
    fi
    sleep 0.2
  done
  cat "$data/log/retry"
}

say 'seven daemons in three regions'
for file in "$settings"/*.json; do
  vm=$(basename "$file" .json)
  "$sequoiahollow" serve --settings "$file" > /dev/null 2> "$data/log/$vm.log" &
  pids="$pids $!"
  if [ "$vm" = south-a-2 ]; then victim=$!; fi
  echo "$vm: process $!"
done

say 'configuration, applied by an operator'
retry "$sequoiahollow" config apply examples/huon-ridge/config

say 'backend servers announce themselves'
start_backend() {
  bin/shbackend --name "$1" --service "$2" --region "$3" --failure-domain "$4" --owners "$5" \
    --slots 3 --service-time 5ms --journal "$data/log/journal.jsonl" > /dev/null 2> "$data/log/$1.log" &
  pids="$pids $!"
}
south=127.11.1.1:7401,127.11.2.1:7401,127.11.1.2:7401
north=127.12.1.1:7401,127.12.2.1:7401
victoria=127.13.1.1:7401,127.13.2.1:7401
for service in field-sampling-records issuance-payments-ledger; do
  for n in 1 2; do
    start_backend "$service-s$n" "$service" tasmania-south south-a "$south"
    start_backend "$service-n$n" "$service" tasmania-north north-a "$north"
    start_backend "$service-v$n" "$service" victoria victoria-a "$victoria"
  done
done

requests() {
  say 'look-up'
  "$sequoiahollow" lookup --service field-sampling-records
  say 'idempotent request'
  "$sequoiahollow" request --service field-sampling-records --path /sites/42/samples
  say 'once-only request, and the same again'
  "$sequoiahollow" request --service issuance-payments-ledger --method POST --path /payments --key "$1" --body 'pay 100'
  "$sequoiahollow" request --service issuance-payments-ledger --method POST --path /payments --key "$1" --body 'pay 100'
}

retry "$sequoiahollow" request --service field-sampling-records --path /ready
retry "$sequoiahollow" request --service issuance-payments-ledger --path /ready
requests payment-1

say 'a request without key to a once-only operation is refused as not run'
"$sequoiahollow" request --service issuance-payments-ledger --method POST --path /payments --body 'pay 100' && exit 1
echo "exit code $?"

say "daemon south-a-2 is killed"
kill -9 "$victim"
wait "$victim" 2>/dev/null || true
requests payment-2

say 'configuration in force at each daemon'
sleep 3
"$sequoiahollow" config status
say "accepted edits"
"$sequoiahollow" config history | cut -c1-160 | head -3
say 'service-level burn'
"$sequoiahollow" report burn

sleep 1
say 'account'
"$sequoiahollow" account export
say 'account, added up'
"$sequoiahollow" account summary
say 'verification'
"$sequoiahollow" account verify
