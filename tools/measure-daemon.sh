#!/usr/bin/env bash
# Compares calls through one daemon with direct calls to the stand-ins in the same run: latency, requests per second, streams,
# CPU time and memory. Prints one line for each measurement. Terminates only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release >/dev/null
bin=$PWD/build/release
work=$(mktemp -d)
source tools/processes.sh

start_standin engine --version small-1 --per-token-ms 0 --slots 4000; engine=$address
start_standin engine --version slow-1 --per-token-ms 200 --slots 4000; slow=$address
start_standin service --threads 2; service=$address

digest=$(printf key | sha256sum | cut -d' ' -f1)
cat >"$work/base.yaml" <<YAML
ranks: { later: { order: 0 } }
models: { small: { current: small-1 }, slow: { current: slow-1 } }
versions: { small-1: { model: small }, slow-1: { model: slow } }
services: { status: { rank: later } }
teams: { team: { key_sha256: [$digest], models: [small, slow], services: [status] } }
upstreams:
  e: { address: "$engine", version: small-1, slots: 4000 }
  w: { address: "$slow", version: slow-1, slots: 4000 }
  s: { address: "$service", service: status, slots: 4000 }
limits: { rated_share: 0 }
YAML
cat >"$work/entry.yaml" <<YAML
instance: one
domain: d
listen: 127.0.0.1:0
operator_listen: 127.0.0.1:0
configuration_file: $work/base.yaml
drain_grace_ms: 1
YAML
start_instance "$work/entry.yaml" taskset -c 0,1
daemon=${pids[-1]}
caller=$CALLERS
load() { taskset -c 2-5 "$bin/test/skylarkhitch-load" "$@"; }
memory() { awk '/VmRSS/ { print $2 / 1024 " MB" }' "/proc/$daemon/status"; }
cpu() { awk '{ print ($14 + $15) / 100 }' "/proc/$daemon/stat"; }

echo "idle memory: $(memory)"
echo "status call, 1 connection, direct:         $(load -a "$service" --method GET --path /x -c 1 -n 3000)"
echo "status call, 1 connection, through daemon: $(load -a "$caller" --method GET --path /services/status/x -c 1 -n 3000)"
echo "chat, 1 connection, direct:                $(load -a "$engine" -c 1 -n 2000)"
echo "chat, 1 connection, through daemon:        $(load -a "$caller" -c 1 -n 2000)"
echo "stream of 16 tokens, 8 connections, direct:         $(load -a "$engine" --stream --tokens 16 -c 8 -n 2000)"
before=$(cpu)
echo "stream of 16 tokens, 8 connections, through daemon: $(load -a "$caller" --stream --tokens 16 -c 8 -n 2000)"
echo "  daemon CPU seconds for 32000 tokens: $(awk -v a="$before" -v b="$(cpu)" 'BEGIN { print b - a }')"
for n in 16 64; do
    before=$(cpu)
    echo "status calls, $n connections, direct:         $(load -a "$service" --method GET --path /x -c "$n" -n 40000)"
    echo "status calls, $n connections, through daemon: $(load -a "$caller" --method GET --path /services/status/x -c "$n" -n 40000)"
    echo "  daemon's processor seconds: $(awk -v a="$before" -v b="$(cpu)" 'BEGIN { print b - a }')"
done
before=$(cpu)
echo "chats, 64 connections, through daemon: $(load -a "$caller" -c 64 -n 20000)"
echo "  daemon's processor seconds: $(awk -v a="$before" -v b="$(cpu)" 'BEGIN { print b - a }')"
load -a "$caller" --model slow --stream --tokens 24 -c 1000 -n 1000 >"$work/streams" &
streams=$!
sleep 3
echo "memory with 1000 open streams: $(memory)"
wait "$streams"
echo "1000 streams: $(cat "$work/streams")"
