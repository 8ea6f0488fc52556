#!/usr/bin/env bash
# Runs a whole fleet on 127.0.0.0/8 with stand-ins for the platform, the upstreams and the span
# collector; shows load through a surge, one operation submitted three times and a withdrawn key.
# Ends every process that it started.
# usage: scripts/demo.sh [moquegua|archive]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment="${1:-moquegua}"
case "$deployment" in
moquegua)
  subnet=20
  # service:targets:slots:connections:service time in ms:inner calls. Targets are as many as in the
  # deployment; slots are a fifth, so that one machine can overload them.
  services=(plots:4:22:750:50: harvest:4:22:750:50: dispatch:3:22:770:50:gate:POST:/gate/open gate:3:9:380:50:)
  once_service=dispatch; once_target=/dispatch/confirm; once_body='{"dispatch_number": "D-2041", "gate": 7}'
  read_target=/plots/status ;;
archive)
  subnet=21
  services=(melodies:3:12:450:30: deposits:3:12:450:30: lyrics:3:12:450:30: search:3:3:190:30:melodies:GET:/melodies/browse)
  once_service=deposits; once_target=/deposits/deposits; once_body='{"title": "harvest song"}'
  read_target=/melodies/browse ;;
*) echo "usage: scripts/demo.sh [moquegua|archive]" >&2; exit 2 ;;
esac

scripts/install_packages.sh
scripts/build.sh | tail -1
bin="$PWD/build/bin"
work="$(mktemp -d)"
platform="127.$subnet.250.1:8500"
collector="127.$subnet.250.2:4318"
export GLOG_minloglevel=1
pids=()
stop_all() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -eq 0 ]; then rm -rf "$work"; else echo "logs are in $work" >&2; fi
}
trap stop_all EXIT
start() { # log file, program, arguments
  local log="$1"; shift
  "$@" >"$work/$log" 2>&1 &
  pids+=($!)
}
ctl() { "$bin/damaskledgectl" "$@" --platform="$platform"; }
wait_for() { # seconds, description, command
  local limit="$1" what="$2"; shift 2
  for _ in $(seq $((limit * 5))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "gave up waiting for $what; logs are in $work" >&2
  return 1
}

echo "== platform and collector"
start platform.log "$bin/platform_stand_in" --listen="$platform"
start collector.log "$bin/collector_stand_in" --listen="$collector"
wait_for 10 "the platform" curl -fs "http://$platform/control"

echo "== operators apply their two lists and give keys"
ctl apply --accounts="examples/$deployment/accounts.json" --plans="examples/$deployment/plans.json"
accounts=$(sed -n 's/.*{"name": "\([^"]*\)".*/\1/p' "examples/$deployment/accounts.json")
printf '{' >"$work/keys.json"
separator=""
for account in $accounts; do
  given=$(ctl keys give --account="$account" --output=json)
  key=$(sed -n 's/.*"key": *"\([^"]*\)".*/\1/p' <<<"$given")
  id=$(sed -n 's/.*"id": *"\([^"]*\)".*/\1/p' <<<"$given")
  printf '%s"%s": "%s"' "$separator" "$account" "$key" >>"$work/keys.json"
  separator=", "
  last_account=$account last_key=$key last_id=$id
  [ -n "${first_key:-}" ] || first_key=$key
done
printf '}\n' >>"$work/keys.json"

echo "== three data centres, one node and one upstream on each VM"
secret=$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')
nodes=()
dealt=0
hosts=(0 0 0)
centres="\"$deployment-1\", \"$deployment-2\", \"$deployment-3\""
for entry in "${services[@]}"; do
  IFS=: read -r service targets slots connections time_ms inner <<<"$entry"
  for _ in $(seq "$targets"); do
    dc=$((dealt % 3))
    dealt=$((dealt + 1))
    hosts[dc]=$((hosts[dc] + 1))
    address="127.$subnet.$((dc + 1)).${hosts[dc]}"
    name="$deployment-$((dc + 1))-vm${hosts[dc]}"
    cat >"$work/$name.json" <<SETTINGS
{"name": "$name", "data_centre": "$deployment-$((dc + 1))", "address": "$address",
 "platform": ["$platform"], "data_centres": [$centres],
 "seeds": ["127.$subnet.1.1:8082", "127.$subnet.2.1:8082", "127.$subnet.3.1:8082"],
 "collector": "$collector",
 "cluster_secret": "$secret"}
SETTINGS
    start "$name.log" "$bin/damaskledge-node" --settings="$work/$name.json"
    start "$name-upstream.log" "$bin/upstream_stand_in" --service="$service" \
      --listen="$address:9000" --node="$address:8081" --slots="$slots" \
      --connections="$connections" --service_time_ms="$time_ms" --inner="$inner" \
      --log="$work/$name-$service.executions"
    nodes+=("$address")
  done
done
ready() {
  for address in "${nodes[@]}"; do
    [ "$(curl -fs "http://$address:8083/targets" | grep -o '"id"' | wc -l)" -eq "${#nodes[@]}" ] || return 1
    curl -fs "http://$address:8083/status" | grep -q '"lists":1' || return 1
  done
}
wait_for 40 "all nodes to know all targets" ready
ctl status

echo "== one operation submitted three times at three nodes"
for address in "${nodes[0]}" "${nodes[1]}" "${nodes[2]}"; do
  curl -s -o /dev/null -w "%{http_code} %header{damaskledge-reason}%header{damaskledge-replayed}\n" \
    -X POST "http://$address:8080$once_target" -H "Authorization: Bearer $first_key" \
    -H "Idempotency-Key: demo-operation-1" -d "$once_body" &
done
wait $(jobs -p | tail -3)
sleep 0.5
executed=$(cat "$work"/*-"$once_service".executions | grep -cE 'demo-operation-1|D-2041' || true)
echo "executions of the operation: $executed"

echo "== load: usual, a surge, one account far above its rate"
callers=$(printf '%s:8080,' "${nodes[@]}")
executions=$(printf '%s:9000,' "${nodes[@]}")
"$bin/damaskledge-load" --scenario="examples/$deployment/load.json" --keys="$work/keys.json" \
  --nodes="${callers%,}" --executions="${executions%,}" || true

echo "== a key is withdrawn while its caller is connected"
curl -s -o /dev/null -w "before: %{http_code}\n" "http://${nodes[0]}:8080$read_target" -H "Authorization: Bearer $last_key"
ctl keys withdraw "$last_id" --wait
curl -s -w "after: %{http_code} %header{damaskledge-reason}\n" -o /dev/null "http://${nodes[0]}:8080$read_target" -H "Authorization: Bearer $last_key"
echo "account $last_account has no key any more"

leaks=0
for address in "${nodes[@]}"; do
  n=$(curl -fs "http://$address:9000/control" | sed -n 's/.*"leaked_keys": *\([0-9]*\).*/\1/p')
  leaks=$((leaks + ${n:-0}))
done
echo "keys seen by upstreams: $leaks"
echo "spans at the collector: $(curl -fs "http://$collector/control" | head -c 200)"
