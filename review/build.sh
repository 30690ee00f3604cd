#!/bin/sh
# Builds the stand-ins of all cases into target/review; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++17 -O1 -g -Wall -pthread -o "target/review/case-$number" \
    "$source" review/harness/harness.cpp
done
