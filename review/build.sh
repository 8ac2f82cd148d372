#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into build/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for program in review/standins/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -o "build/review/$(basename "$program" .cpp)" "$program" $(pkg-config --cflags --libs jsoncpp) -pthread
done
