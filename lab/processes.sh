#!/usr/bin/env bash
# A fleet of separate processes on loopback: a platform, two services in two regions with three upstreams each,
# and a node beside each. Sends load through it, stops one node with SIGTERM and kills another meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace
bin=target/release
logs=$(mktemp -d)
pids=()
finish() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap finish EXIT

$bin/lab platform --listen 127.0.0.1:7090 >"$logs/platform" & pids+=($!)
nodes=()
entries=()
n=0
for service in sizing orders; do
    for place in svealand/svealand-1 svealand/svealand-2 gotaland/gotaland-1; do
        port=$((7100 + n * 10))
        $bin/pistachiolane node --listen 127.0.0.1:$port --gate-listen 127.0.0.1:$((port + 1)) \
            --control-listen 127.0.0.1:$((port + 2)) --admin-listen 127.0.0.1:$((port + 3)) \
            --platform http://127.0.0.1:7090 --region "${place%/*}" --zone "${place#*/}" \
            >"$logs/node$n" 2>&1 & pids+=($!); nodes+=($!)
        entries+=("127.0.0.1:$port")
        $bin/lab upstream --node 127.0.0.1:$((port + 3)) --service $service >"$logs/upstream$n" & pids+=($!)
        n=$((n + 1))
    done
done

admin=127.0.0.1:7103
until $bin/pistachiolane status --node $admin --json 2>/dev/null | grep -q '"alive":2' ; do sleep 0.2; done
$bin/pistachiolane apply root lab/examples/demo-root.json --node $admin
$bin/pistachiolane apply shop lab/examples/demo-shop.json --node $admin
sleep 1
callers="${entries[1]},${entries[2]},${entries[4]}"
$bin/lab load --service sizing --entries "$callers" --rate 300 --seconds 8 & lookups=$!
$bin/lab load --service orders --post --entries "$callers" --rate 100 --seconds 8 & orders=$!
sleep 2
echo "SIGTERM to the node of the first orders upstream"
kill -TERM "${nodes[3]}"
sleep 2
echo "SIGKILL to the node of the first sizing upstream"
kill -KILL "${nodes[0]}"
wait $lookups $orders
$bin/pistachiolane status --node 127.0.0.1:7113
echo "logs in $logs"
