#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. Needs the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-2/$(basename "$source" .cpp)" "$source" &
done
wait
for source in review/stand_ins_2/*.cpp; do
  test -x "target/review-2/$(basename "$source" .cpp)"
done
