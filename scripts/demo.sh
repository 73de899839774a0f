#!/usr/bin/env bash
# Builds everything, starts stand-ins and three entries in two halves, publishes both inventories, and sends sample requests
# of both users. Exits with code 0 only if every answer was complete and correct. Stops the processes it started by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh

work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT

# start NAME PROGRAM [ARGUMENT...]: starts a program; sets $address to its listening address and, for an entry, $operators to
# the address of its operators' listener.
start() {
    local name=$1 line=""
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=("$!")
    pid=$!
    for _ in $(seq 200); do
        line=$(grep -m1 '^listening' "$work/$name.out" 2>/dev/null || true)
        [ -n "$line" ] && break
        sleep 0.05
    done
    if [ -z "$line" ]; then
        echo "demo: $name did not start listening within 10 s; its log:"; cat "$work/$name.log"; exit 1
    fi
    address=$(cut -d' ' -f2 <<<"$line")
    operators=$(cut -d' ' -f4 <<<"$line")
}

# engine HALF ZONE MODEL ROLE NUMBER SLOTS: starts an engine stand-in and adds it to the inventory of its half.
engine() {
    local name="$3-$4-$5"
    start "$name" build/fake_engine --role "$4" --model "$3" --zone "$2" --slots "$6" --pieces 96 --prefill-us-per-token 20 --token-ms 10
    cat >>"$work/inventory-$1.yaml" <<YAML
  - {name: $name, address: "$address", zone: $2, half: $1, kind: $4_engine, model: $3, slots: $6, pieces: 96, piece_tokens: 2048, checks_fence: true}
YAML
}

# service HALF ZONE NAME NUMBER: starts a plain service and adds it to the inventory of its half.
service() {
    start "$3-$4" build/fake_service --name "$3" --delay-ms 5
    cat >>"$work/inventory-$1.yaml" <<YAML
  - {name: $3-$4, address: "$address", zone: $2, half: $1, kind: plain_service, service: $3, slots: 32}
YAML
}

# entry HALF ZONE NUMBER: starts an entry.
entry() {
    local name="$1-$3"
    cat >"$work/$name.yaml" <<YAML
name: $name
half: $1
zone: $2
region: $1
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {log: "$platform", vms: "$platform"}
YAML
    start "$name" build/heatherrouted --settings "$work/$name.yaml"
}

echo "heatherroute demo"
start platform build/fake_platform
platform=$address
for half in da-nang red-pericial; do echo "upstreams:" >"$work/inventory-$half.yaml"; done
zones=(hai-chau son-tra lien-chieu ngu-hanh)
for i in 1 2 3 4; do engine da-nang "${zones[$((i - 1))]}" audit prefill "$i" 4; done
for i in 1 2 3 4 5; do engine da-nang "${zones[$((i % 4))]}" audit decode "$i" 20; done
for i in 1 2 3 4; do service da-nang "${zones[$((i - 1))]}" shop-portal "$i"; done
zones=(cdmx-a qro-b pue-c)
for i in 1 2 3; do engine red-pericial "${zones[$((i - 1))]}" assistant prefill "$i" 4; done
for i in 1 2 3 4 5 6; do engine red-pericial "${zones[$((i % 3))]}" assistant decode "$i" 20; done
for i in 1 2 3; do service red-pericial "${zones[$((i - 1))]}" directory "$i"; done
cat >>"$work/inventory-da-nang.yaml" <<YAML
rules:
  service_routes:
    - {service: shop-portal, path_prefix: /, idempotent_methods: [GET]}
YAML
cat >>"$work/inventory-red-pericial.yaml" <<YAML
rules:
  service_routes:
    - {service: directory, path_prefix: /, idempotent_methods: [GET]}
YAML
entry da-nang hai-chau 1; daNang=$address; daNangOperators=$operators
entry red-pericial cdmx-a 1; red1=$address; red1Operators=$operators
entry red-pericial qro-b 2; red2=$address; red2Operators=$operators
echo "started: 1 platform, 9 + 9 engines, 4 + 3 services, 3 entries"

all="$daNangOperators,$red1Operators,$red2Operators"
for half in da-nang red-pericial; do
    echo "publishing the inventory of $half"
    build/heatherctl publish "$work/inventory-$half.yaml" --log "$platform" --half "$half" --operator demo --entries "$all"
done
build/heatherbench demo --da-nang "$daNang" --red-pericial "$red1,$red2" || {
    echo "demo: an answer was incomplete or incorrect; ends of the entries' logs:"
    tail -n 20 "$work"/da-nang-1.log "$work"/red-pericial-*.log
    exit 1
}
echo "graceful shutdown of every entry"
build/heatherctl drain --entries "$all"
echo "demo: every answer was complete and correct"
