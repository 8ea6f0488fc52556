#!/usr/bin/env bash
# Configures and builds everything in build/. A second run builds only what changed.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --parallel "${DAMASKLEDGE_JOBS:-$(nproc)}"
