#!/usr/bin/env bash
# Builds the stand-ins and clients of the script cases 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread "$source" \
    -o "target/review-3/case-$number"
done
