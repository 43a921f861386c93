#!/bin/sh
# Builds the programs of the review's second part into target/review-2/. Needs no more than the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for source in review/[6-9]/case.cpp review/10/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$number" "$source" || exit 2
done
