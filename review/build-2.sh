#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
for source in review/standins-2/*.cpp; do
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$OUT/$(basename "$source" .cpp)" "$source" $(pkg-config --cflags --libs jsoncpp) &
done
wait
for source in review/standins-2/*.cpp; do
    test -x "$OUT/$(basename "$source" .cpp)"
done
