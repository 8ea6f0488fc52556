#!/usr/bin/env bash
# Runs clang-tidy over files, skipping those whose preprocessed text passed before.
set -euo pipefail
cache="${DAMASKLEDGE_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/damaskledge-lint}"
mkdir -p "$cache"
root=$PWD
status=0
for file in "$@"; do
  command=$(python3 - "$file" <<'PY'
import json, os, sys, shlex
path = os.path.realpath(sys.argv[1])
for entry in json.load(open("build/lint/compile_commands.json")):
    if os.path.realpath(os.path.join(entry["directory"], entry["file"])) == path:
        words = shlex.split(entry["command"])
        out = [w for i, w in enumerate(words) if w not in ("-c", "-o") and (i == 0 or words[i-1] != "-o")]
        print(shlex.join(out))
        break
PY
)
  if [ -z "$command" ]; then
    continue
  fi
  key=$( (cat .clang-tidy; cd "$root/build" && eval "$command -E -P -C" 2>/dev/null) | sha256sum | cut -d' ' -f1)
  if [ -e "$cache/$key" ]; then
    continue
  fi
  if clang-tidy -p build/lint --quiet "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    status=1
  fi
done
exit $status
