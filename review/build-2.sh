#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/case.c" ] || continue
  ${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -o "target/review-2/case-$(basename "$folder")" "$folder/case.c" \
    review/rig-2/rig.c -pthread
done
