#!/usr/bin/env bash
# Sets up a fresh machine and demonstrates the main functions. Starts a stand-in platform, two stand-in engines with different
# costs, one stand-in service and three entry daemons, then sends a chat request through a cascade, not streamed and streamed,
# and a booking. Terminates only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release
bin=$PWD/build/release
work=$(mktemp -d)
source tools/processes.sh

start_standin platform; platform=$address
start_standin engine --version small-1 --quality 600; small=$address
start_standin engine --version large-1 --quality 900; large=$address
start_standin service; orders=$address

digest=$(printf design-key | sha256sum | cut -d' ' -f1)
cat >"$work/overlay.yaml" <<YAML
services:
  orders: { cost_per_call: 5000, rank: urgent }
teams:
  design: { key_sha256: [$digest], cascades: [draft], models: [small, large], services: [orders] }
upstreams:
  engine-small: { address: "$small", domain: halle-a, version: small-1 }
  engine-large: { address: "$large", domain: halle-b, version: large-1 }
  orders-1: { address: "$orders", domain: kontor, service: orders }
YAML

domains=(halle-a halle-b kontor)
callers=() operators=()
for n in 0 1 2; do
    cat >"$work/entry-$n.yaml" <<YAML
instance: entry-$n
domain: ${domains[$n]}
listen: 127.0.0.1:0
operator_listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
platform: $platform
peer_secret: quick-start
drain_grace_ms: 200
YAML
    start_instance "$work/entry-$n.yaml"
    callers+=("$CALLERS") operators+=("$OPERATORS")
    curl -sf -X POST "http://$platform/v1/instances" -o /dev/null \
        -d "{\"id\":\"entry-$n\",\"role\":\"entry\",\"address\":\"$CALLERS\",\"peer_address\":\"$PEERS\",\"state\":\"live\"}"
done

tool() { "$bin/skylarkhitch" --operator "${operators[0]}" "$@"; }
ask() { tool --entry "${callers[0]}" --key design-key "$@"; }

echo "== configuration: base file and overlay, applied on every instance"
tool --wait config apply deploy/base.yaml "$work/overlay.yaml"
echo; echo "== a chat request through the cascade 'draft', not streamed"
ask request chat draft "draft a pattern card for a fir label"
echo; echo "== a streamed chat request through the cascade 'draft'"
ask --stream request chat draft "review the care label wording"
echo; echo "== a booking, sent twice with the same idempotency key and executed once"
ask --idempotency-key slot-17 request call orders POST /slots '{"loom":4}'
ask --idempotency-key slot-17 request call orders POST /slots '{"loom":4}'
echo "bookings executed by the service: $(curl -sf "http://$orders/log")"
echo; echo "== bills"
tool bills
echo; echo "== status of one instance"
tool status
