#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in stand_ins/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "bin/$name" "$source" &
done
wait
for source in stand_ins/*.cpp; do
  test -x "bin/$(basename "$source" .cpp)"
done
