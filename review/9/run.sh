#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out; KEEP=1 keeps the settings and logs of the nodes.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/damaskledge-sidecar ] || { echo "run the build of deploy/system.toml first"; exit 2; }
[ -x target/review-2/lost_leave ] || { echo "run review/build-2.sh first"; exit 2; }
timeout --signal=KILL 115 target/review-2/lost_leave review/9/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
