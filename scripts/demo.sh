#!/usr/bin/env bash
# Demonstrates online and batch inference on stand-ins: starts three entry VMs in three failure domains, sends
# a chat completion with and one without streaming, and submits a batch job of 1,000 items. Stops all
# processes at the end. BORAGERILL_DEMO_PORT is the first of the ports used (default 21000).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --bins
bin=target/release
dir=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap stop_all EXIT
run() {
    local log=$1
    shift
    "$@" >"$dir/$log.log" 2>&1 &
    pids+=($!)
}
base=${BORAGERILL_DEMO_PORT:-21000}
platform=127.0.0.1:$base
run platform $bin/standin-platform --port "$base"
engines=()
for i in 1 2 3; do
    run "engine-$i" $bin/standin-engine --port $((base + 100 + i)) --token-us 2000
    engines+=("127.0.0.1:$((base + 100 + i))")
done
wait_for() { # URL
    for _ in $(seq 100); do
        if curl --silent --fail --output /dev/null "$1"; then return 0; fi
        sleep 0.1
    done
    echo "no successful response from $1 after 100 attempts" >&2
    cat "$dir"/*.log >&2
    return 1
}
wait_for "http://$platform/vms"
domains=(zaragoza-a tudela-b huesca-c)
vms=$(for i in 0 1 2; do echo "{\"name\":\"vm-$i\",\"domain\":\"${domains[$i]}\",\"state\":\"live\"}"; done | paste -sd,)
curl --silent --fail --json "[$vms]" "http://$platform/standin/vms"
for i in 0 1 2; do
    p=$((base + 200 + 10 * i))
    controls="[\"127.0.0.1:$p\"]"
    common="\"vm\":\"vm-$i\",\"domain\":\"${domains[$i]}\",\"platform\":\"http://$platform\""
    echo "{$common,\"region\":\"valle-ebro\",\"port\":$p,\"http_port\":$((p + 1))}" >"$dir/control-$i.json"
    echo "{$common,\"controls\":$controls,\"port\":$((p + 2))}" >"$dir/entry-$i.json"
    echo "{$common,\"controls\":$controls,\"port\":$((p + 3))}" >"$dir/batch-$i.json"
    run "control-$i" $bin/boragerill-control --settings "$dir/control-$i.json"
    run "entry-$i" $bin/boragerill-entry --settings "$dir/entry-$i.json"
    run "batch-$i" $bin/boragerill-batch --settings "$dir/batch-$i.json"
done
ctl() { $bin/boragerillctl --platform "http://$platform" "$@"; }
key=demo-key-of-regadios
servers=$(for i in 0 1 2; do echo "{\"address\":\"${engines[$i]}\",\"domain\":\"${domains[$i]}\",\"slots\":16}"; done | paste -sd,)
cat >"$dir/resources.json" <<JSON
[
  {"kind": "workspace", "name": "riegos-norte", "spec": {"rate": 50, "burst": 20, "weight": 2}},
  {"kind": "key", "name": "riegos-norte-1", "spec": {"workspace": "riegos-norte", "hash": "$(echo $key | ctl hash)"}},
  {"kind": "service", "name": "asesor-pivot", "spec": {
    "routes": [{"path": "/v1/chat/completions", "idempotent": true}],
    "servers": [$servers]
  }}
]
JSON
echo "== declaring a workspace, an API key and a service"
ctl apply -f "$dir/resources.json"
entry=http://127.0.0.1:$((base + 202))
for i in 0 1 2; do wait_for "http://127.0.0.1:$((base + 202 + 10 * i))/readyz"; done
ask() { # EXTRA BODY
    curl --silent --show-error --header "authorization: Bearer $key" --json "$1" "$entry/v1/chat/completions"
}
echo "== chat completion without streaming (retried until the VMs have divided the rates among them)"
for _ in $(seq 60); do
    answer=$(ask '{"messages":[{"role":"user","content":"Pivot 7 stopped at 40 degrees"}],"max_tokens":6}')
    if [[ $answer == *choices* ]]; then break; fi
    sleep 0.25
done
echo "$answer"
[[ $answer == *choices* ]]
echo "== streamed chat completion"
streamed=$(ask '{"messages":[{"role":"user","content":"Pivot 7 stopped at 40 degrees"}],"max_tokens":4,"stream":true}')
echo "$streamed"
[[ $streamed == *'[DONE]'* ]]
echo "== batch job of 1,000 items"
for i in $(seq 1000); do
    echo "{\"id\":\"item-$i\",\"body\":{\"messages\":[{\"role\":\"user\",\"content\":\"log $i\"}],\"max_tokens\":4}}"
done >"$dir/items.jsonl"
curl --silent --show-error --header "authorization: Bearer $key" --upload-file "$dir/items.jsonl" \
    "$entry/v1/batches/night-1?service=asesor-pivot&path=/v1/chat/completions"
echo
ctl watch batchjob riegos-norte.night-1 --until complete
ctl get batchjob
results=$(curl --silent --header "authorization: Bearer $key" "$entry/v1/batches/night-1/results" | grep -c '"outcome":"answer"')
echo "successful results: $results"
[[ $results == 1000 ]]
echo "== done"
