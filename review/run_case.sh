#!/usr/bin/env bash
# Runs one case: run_case.sh FOLDER PROGRAM. Exits 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out; KEEP=1 keeps settings and logs.
set -u
folder=$1
program=$2
cd "$(dirname "$0")/.." || exit 2
[ -x target/bin/damaskledge-sidecar ] || { echo "run the build of deploy/system.toml first"; exit 2; }
[ -x "review/bin/$program" ] || { echo "run review/build.sh first"; exit 2; }
timeout --signal=KILL 115 "review/bin/$program" "review/$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
