#!/bin/sh
# Runs the Huon Ridge example as separate processes under load. It kills, freezes
# (SIGSTOP) and stops VMs, deletes the data of a VM and kills a backend server,
# and checks the history of the requests against the guarantees of the system.
# The exit code is 0 if all checks pass. It takes less than two minutes and ends
# only the processes that it started.
set -eu
cd "$(dirname "$0")/.."

data=demo-data/huon-ridge
settings=examples/huon-ridge/settings
rm -rf "$data"
mkdir -p "$data/log" "$data/pid" bin
umask 077
printf 'faults-operator-token-%s\n' "$$" > "$data/operator-token"
cp "$data/operator-token" "$data/log/token"
: > "$data/log/journal.jsonl"

go build -o bin/ ./cmd/...
go test -tags script -c -o bin/faults.test ./transport/shdaemon
export SEQUOIAHOLLOW_TOKEN_FILE="$data/operator-token"
export SEQUOIAHOLLOW_OPERATOR=127.12.2.1:7403
export SEQUOIAHOLLOW_ENTRY=127.12.2.1:7400

stop_all() {
  for file in "$data"/pid/*; do
    pid=$(cat "$file")
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT
trap 'exit 1' INT TERM

say() { printf '%s  %s\n' "$(date -u +%T)" "$*"; }
pid_of() { cat "$data/pid/$1"; }

start_vm() {
  bin/sequoiahollow serve --settings "$settings/$1.json" > /dev/null 2>> "$data/log/$1.log" &
  echo $! > "$data/pid/$1"
}

kill_process() {
  : > "$data/log/killed-$1"
  kill -KILL "$(pid_of "$1")"
  wait "$(pid_of "$1")" 2>/dev/null || true
}

start_backend() { # name service region failure-domain owners
  bin/shbackend --name "$1" --service "$2" --region "$3" --failure-domain "$4" --owners "$5" \
    --slots 3 --service-time 5ms --journal "$data/log/journal.jsonl" > /dev/null 2>> "$data/log/$1.stderr" &
  echo $! > "$data/pid/$1"
}

start_backends() {
  start_backend "$1-s$2" "$1" tasmania-south south-a 127.11.1.1:7401,127.11.2.1:7401,127.11.1.2:7401
  start_backend "$1-n$2" "$1" tasmania-north north-a 127.12.1.1:7401,127.12.2.1:7401
  start_backend "$1-v$2" "$1" victoria victoria-a 127.13.1.1:7401,127.13.2.1:7401
}

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
}

apply_config() { retry bin/sequoiahollow config apply examples/huon-ridge/config; }

say 'start of seven daemons and twelve backend servers'
for file in "$settings"/*.json; do start_vm "$(basename "$file" .json)"; done
apply_config
for n in 1 2; do
  start_backends field-sampling-records "$n"
  start_backends issuance-payments-ledger "$n"
done
retry bin/sequoiahollow request --service field-sampling-records --path /ready
retry bin/sequoiahollow request --service issuance-payments-ledger --path /ready

say 'load'
(cd transport/shdaemon && SEQUOIAHOLLOW_FAULTS="$OLDPWD/$data/log" exec "$OLDPWD/bin/faults.test" -test.v -test.run TestDeploymentOfScript) &
check=$!
sleep 3

say 'entry VM south-a-2 is killed, and started again'
kill_process south-a-2
sleep 4
start_vm south-a-2
sleep 3

for vm in south-a-1 north-a-1; do
  say "control VM $vm freezes for 5 s"
  kill -STOP "$(pid_of $vm)"
  sleep 5
  kill -CONT "$(pid_of $vm)"
  sleep 3
done

say 'a backend server is killed, and started again'
kill_process field-sampling-records-s1
sleep 3
start_backend field-sampling-records-s1 field-sampling-records tasmania-south south-a 127.11.1.1:7401

say 'control VM victoria-a-1 loses its disk'
kill_process victoria-a-1
rm -r "$data/victoria-a-1"
sleep 3
start_vm victoria-a-1
sleep 5

say 'control VM south-b-1 is killed 5 s after victoria-a-1 has restarted without its data'
kill_process south-b-1
apply_config
sleep 5
start_vm south-b-1
sleep 3

say 'planned stop of south-a-1, and start'
kill -TERM "$(pid_of south-a-1)"
wait "$(pid_of south-a-1)"
start_vm south-a-1
sleep 4

say 'region victoria is lost, and comes back'
kill_process victoria-a-1
kill_process victoria-b-1
sleep 5
start_vm victoria-a-1
start_vm victoria-b-1
sleep 5

say 'end of the load, check of the history'
: > "$data/log/stop"
wait "$check"
say 'all held'
