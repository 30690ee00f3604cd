#!/bin/sh
# Builds what the scripts of the third review start, into target/review-3/: the stand-ins of the
# store, instances and callers are in rig-3/, linked into the program of each case.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.c; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-unused-parameter -pthread \
    -o "target/review-3/case-$name" "$source" review/rig-3/rig.c
done
