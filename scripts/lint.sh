#!/usr/bin/env bash
# Checks formatting and runs the linter over the files given, or over all files.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'source/*.cpp' 'source/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h')
fi
clang-format --dry-run --Werror "${files[@]}"
sources=()
for it in "${files[@]}"; do [[ $it == *.cpp && -e $it ]] && sources+=("$it"); done
# The compile database names ccache as launcher, which clang-tidy does not understand.
mkdir -p build/lint
# The fuzz targets are built, and their commands written, in a folder of their own.
python3 - <<'PY'
import json, os, re
entries = []
for path in ("build/compile_commands.json", "build-fuzz/compile_commands.json"):
    if os.path.exists(path):
        known = {it["file"] for it in entries}
        entries += [it for it in json.load(open(path)) if it["file"] not in known]
for it in entries:
    it["command"] = re.sub(r'[^" ]*ccache ', "", it["command"])
json.dump(entries, open("build/lint/compile_commands.json", "w"), indent=0)
PY
printf '%s\n' "${sources[@]}" |
  xargs -P "${DAMASKLEDGE_JOBS:-$(nproc)}" -n 2 scripts/lint_cached.sh
echo "lint: ${#files[@]} files clean"
