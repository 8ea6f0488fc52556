#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
