#!/usr/bin/env bash
# Builds the libFuzzer targets in build-fuzz/ with clang and runs each one over its kept corpus and
# new inputs. Without an argument the number of runs is fixed, so that the verdict does not depend
# on the machine's speed. Prints one line for each target; fails when a target finds a fault.
# usage: scripts/fuzz.sh [seconds per target]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-}"
jobs="${DAMASKLEDGE_JOBS:-$(nproc)}"
scripts/install_packages.sh
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DDAMASKLEDGE_FUZZERS=ON >/dev/null
cmake --build build-fuzz --target fuzzers --parallel "$jobs" | tail -1

# Target and its number of runs: what takes about 3 s or less on one core.
targets=(
  wire_frame:8000
  context_token:15000
  request_key:12000
  request_path:20000
  traceparent:20000
  operator_lists:4000
  stored_documents:5000
  node_settings:5000
  platform_answer:15000
  claim_objects:1200
  lease_object:1000
  document_contents:2500
  load_scenario:10000
  token_shares:700
  http_message:6000
  node_frame:8000
  platform_bodies:4000
)

run_target() { # target:runs
  local target="${1%%:*}" runs="${1##*:}" work="build-fuzz/work/${1%%:*}" bound status=0
  rm -rf "$work"
  mkdir -p "$work/inputs" "$work/failures"
  bound=(-runs="$runs")
  [ -z "$seconds" ] || bound=(-max_total_time="$seconds")
  # libFuzzer counts the kept corpus among the runs.
  "build-fuzz/fuzzers/$target" -seed=1 "${bound[@]}" -max_len=4096 -rss_limit_mb=1024 -timeout=10 \
    -print_final_stats=1 -artifact_prefix="$work/failures/" "$work/inputs" \
    "tests/fuzz/corpus/$target" >"$work/log" 2>&1 || status=$?
  local executions coverage failure
  executions=$(sed -n 's/^stat::number_of_executed_units: *//p' "$work/log")
  coverage=$(sed -n 's/.* cov: \([0-9]*\) .*/\1/p' "$work/log" | tail -1)
  if [ "$status" -eq 0 ] && [ -n "$executions" ]; then
    echo "passed $target: $executions executions, coverage $coverage"
    return 0
  fi
  failure=$(find "$work/failures" -type f | head -1)
  echo "FAILED $target: exit code $status, input ${failure:-none}, log $work/log"
  grep -m 3 -E '^property violated|SUMMARY|invariant ' "$work/log" | sed 's/^/  /' || true
  return 1
}
export -f run_target
export seconds

printf '%s\n' "${targets[@]}" | xargs -P "$jobs" -I{} bash -c 'set -euo pipefail; run_target {}'
echo "fuzz: ${#targets[@]} targets passed"
