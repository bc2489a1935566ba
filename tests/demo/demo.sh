#!/usr/bin/env bash
# Starts a platform, targets and three daemons on loopback, sends a plain and a streamed request, shows the status; then
# three gateways before the users' kind of targets, with a staged stream.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
build=$(cd "$1" && pwd)
work=$(mktemp -d)
pids=()

stop_all() {
    if [ ${#pids[@]} -gt 0 ]; then
        kill "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs the command in the background with its output in a file.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
    pids+=($!)
}

# port_of NAME: the port that a stand-in printed when it started.
port_of() {
    for _ in $(seq 100); do
        if [ -s "$work/$1.out" ]; then
            head -n 1 "$work/$1.out"
            return
        fi
        sleep 0.05
    done
    echo "$1 did not start" >&2
    exit 1
}

publish() {
    curl -sSf -X PUT --data-binary "@$2" "http://127.0.0.1:$platform_port/v1/kv/cassiarelay/$1" >/dev/null
}

start platform "$build/tests/standins/standin-platform"
platform_port=$(port_of platform)

separator=
printf '{"targets": [' >"$work/targets.json"
for pool in encoders retrievers rerankers models; do
    for domain in medina hann ouakam; do
        start "$pool-$domain" "$build/tests/standins/standin-target"
        printf '%s{"target": "%s", "pool": "%s", "address": "127.0.0.1", "port": %s, "failureDomain": "%s"}' \
            "$separator" "$pool-$domain" "$pool" "$(port_of "$pool-$domain")" "$domain" >>"$work/targets.json"
        separator=,
    done
done
printf ']}' >>"$work/targets.json"

# Below the range that the system gives to connections of clients, so that none of them holds a daemon's port.
client_ports=$(cut -f 1 /proc/sys/net/ipv4/ip_local_port_range)
base=$((10000 + RANDOM % (client_ports - 10000 - 30)))
separator=
printf '{"vms": [' >"$work/vms.json"
index=0
for domain in medina hann ouakam; do
    cat >"$work/daemon-$index.json" <<SETTINGS
{
    "vm": "vm-$index", "region": "cap-vert", "failureDomain": "$domain",
    "callers": {"address": "127.0.0.1", "port": $((base + 10 * index))},
    "operators": {"address": "127.0.0.1", "port": $((base + 10 * index + 1)), "token": "demo-operator-token"},
    "peers": {"address": "127.0.0.1", "port": $((base + 10 * index + 2))},
    "platform": {"address": "127.0.0.1", "port": $platform_port},
    "cellSecret": "demo-cell-secret-0"
}
SETTINGS
    printf '%s{"vm": "vm-%s", "address": "127.0.0.1", "peerPort": %s, "region": "cap-vert", "failureDomain": "%s"}' \
        "$separator" "$index" "$((base + 10 * index + 2))" "$domain" >>"$work/vms.json"
    separator=,
    index=$((index + 1))
done
printf ']}' >>"$work/vms.json"

publish config "$root/share/demo-fleet.json"
publish vms "$work/vms.json"
publish targets "$work/targets.json"
for index in 0 1 2; do
    start "daemon-$index" "$build/src/app/cassiarelayd/cassiarelayd" --settings "$work/daemon-$index.json"
done
for index in 0 1 2; do
    for attempt in $(seq 100); do
        if curl -sf "http://127.0.0.1:$((base + 10 * index + 1))/readyz" >/dev/null; then
            break
        fi
        if [ "$attempt" = 100 ]; then
            echo "daemon-$index is not ready:" >&2
            cat "$work/daemon-$index.out" >&2
            exit 1
        fi
        sleep 0.1
    done
done

for index in 0 1 2; do
    echo "== plain answer from vm-$index"
    curl -sSf -X POST "http://127.0.0.1:$((base + 10 * index))/v1/pipelines/dossier-review" \
        -H 'Authorization: Bearer demo-token' -d "{\"prompt\": \"review dossier $index\"}"
    echo
done
echo "== streamed answer from vm-1"
curl -sSfN -X POST "http://127.0.0.1:$((base + 10))/v1/pipelines/dossier-review" \
    -H 'Authorization: Bearer demo-token' -H 'Accept: text/event-stream' -d '{"prompt": "review dossier 7"}'
echo "== status of vm-0"
"$build/src/tools/cassiarelay/cassiarelay" --settings "$work/daemon-0.json" status
echo "== staged stream through a gateway"
python3 "$root/tests/demo/gateway_demo.py" --build "$build"
