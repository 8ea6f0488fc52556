#!/usr/bin/env bash
# Measures what a node adds to a call and what it costs: latency through the node against latency
# directly at the same upstream in the same run, resident memory with 750 connections of callers,
# processor time when idle, and traffic between nodes of an idle fleet. Run scripts/build.sh first.
# Ends every process that it started.
# usage: scripts/latency.sh [seconds of a round, 20] [rounds, 3]
set -euo pipefail
cd "$(dirname "$0")/.."
round_s="${1:-20}"
rounds="${2:-3}"
bin="$PWD/build/bin"
work="$(mktemp -d)"
platform=127.42.250.1:8500
address=127.42.1.1
export GLOG_minloglevel=1
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
start() { # log file, program, arguments
  local log="$1"; shift
  "$@" >"$work/$log" 2>&1 &
  pids+=($!)
}
wait_for() { # seconds, description, command
  local limit="$1" what="$2"; shift 2
  for _ in $(seq $((limit * 5))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "gave up waiting for $what" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}
field() { # JSON file, Python expression over the document d
  python3 -c 'import json, sys; d = json.load(open(sys.argv[1])); print(eval(sys.argv[2]))' "$1" "$2"
}
metric() { curl -fs "http://$address:8083/metrics" | sed -n "s/^$1 //p"; }
processor_s() { # process id: seconds of processor time of all its threads
  python3 -c 'import os, sys
fields = open(f"/proc/{sys.argv[1]}/stat").read().rsplit(")", 1)[1].split()
print((int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"))' "$1"
}
resident_mb() { awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }
difference() { python3 -c 'import sys; print(f"{(float(sys.argv[2]) - float(sys.argv[1])) * float(sys.argv[3]):.3f}")' "$@"; }

echo "date: $(date -u '+%Y-%m-%d %H:%M UTC'); cores: $(nproc); load average: $(cut -d' ' -f1-3 /proc/loadavg)"
cat >"$work/accounts.json" <<'JSON'
{"accounts": [{"name": "measurer", "plan": "wide"}]}
JSON
cat >"$work/plans.json" <<'JSON'
{"plans": [{"name": "wide", "rate": 10000, "burst": 10000, "routes": ["plot-status"]}],
 "routes": [{"name": "plot-status", "service": "plots", "method": "GET", "path": "/status",
             "importance": "critical", "deadline": "2s"}],
 "data_centres": [{"name": "one", "weight": 1}]}
JSON
cat >"$work/node.json" <<JSON
{"name": "one-vm1", "data_centre": "one", "address": "$address", "platform": ["$platform"],
 "data_centres": ["one"], "seeds": [], "max_connections": 1024,
 "cluster_secret": "$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')"}
JSON
cat >"$work/load.json" <<JSON
{"seed": 7, "duration_s": $round_s, "nodes": ["$address:8080"], "connections": 750,
 "accounts": [{"name": "measurer", "rate": 10000, "burst": 10000,
   "calls": [{"route": "plot-status", "method": "GET", "path": "/plots/status",
              "importance": "critical", "deadline_ms": 2000, "per_second": 350}]}]}
JSON

start platform.log "$bin/platform_stand_in" --listen="$platform"
wait_for 20 "the platform" curl -fs "http://$platform/control"
"$bin/damaskledgectl" apply --accounts="$work/accounts.json" --plans="$work/plans.json" --platform="$platform" >/dev/null
"$bin/damaskledgectl" keys give --account=measurer --output=json --platform="$platform" >"$work/given.json"
(umask 077; printf '{"measurer": "%s"}\n' "$(field "$work/given.json" "d['key']")" >"$work/keys.json")
start node.log "$bin/damaskledge-node" --settings="$work/node.json"
node=$!
start upstream.log "$bin/upstream_stand_in" --service=plots --listen="$address:9000" --node="$address:8081" \
  --slots=200 --connections=4096 --service_time_ms=5 --distribution=constant
key=$(field "$work/keys.json" "d['measurer']")
wait_for 30 "the first answer through the node" \
  curl -fs "http://$address:8080/plots/status" -H "Authorization: Bearer $key"

echo "== added latency: 350 calls/s through the node over 750 connections, and 350/s directly"
for round in $(seq "$rounds"); do
  "$bin/damaskledge-load" --scenario="$work/load.json" --keys="$work/keys.json" --direct="$address:9000" \
    --seed="$((100 + round))" --duration_s="$round_s" --output=json >"$work/report.json" &
  load=$!
  pids+=("$load")
  sleep "$(python3 -c "print($round_s * 0.9)")"
  connections=$(metric damaskledge_connections)
  memory=$(resident_mb "$node")
  wait "$load"
  field "$work/report.json" "f'round $round: added p50 {d[\"direct\"][\"added\"][\"p50_ms\"]:.3f} ms, p99 {d[\"direct\"][\"added\"][\"p99_ms\"]:.3f} ms (target 0.470); node p50 {d[\"direct\"][\"node\"][\"p50_ms\"]:.3f} p99 {d[\"direct\"][\"node\"][\"p99_ms\"]:.3f}, direct p50 {d[\"direct\"][\"direct\"][\"p50_ms\"]:.3f} p99 {d[\"direct\"][\"direct\"][\"p99_ms\"]:.3f}; {d[\"good\"]} of {d[\"offered\"]} good; late sends {d[\"late_sends\"]}'"
  echo "         resident memory $memory MB with $connections connections (target 256 MB)"
done

echo "== idle fleet of 14 nodes and, at the same time, one idle node, each over 20 s"
echo "   (targets: 8 KB/s to other nodes, 1.7% of a core)"
scripts/measure.py --idle 20 >"$work/fleet.txt" &
fleet=$!
pids+=("$fleet")
sleep 2
cpu=$(processor_s "$node"); ticker=$(metric damaskledge_ticker_seconds)
sleep 20
echo "one idle node: processor time $(difference "$cpu" "$(processor_s "$node")" 5)% of a core, of this the ticker $(difference "$ticker" "$(metric damaskledge_ticker_seconds)" 5)%"

wait "$fleet"
cat "$work/fleet.txt"
