#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. Needs a compiler,
# and nlohmann-json3-dev of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  folder=$(basename "$(dirname "$source")")
  if [ "$folder" -ge 6 ]; then
    g++ -std=c++20 -O1 -o "target/review-2/case-$folder" "$source" -pthread
  fi
done
