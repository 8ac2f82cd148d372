#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. The gateway is built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread $(pkg-config --cflags jsoncpp) "$source" $(pkg-config --libs jsoncpp) -o "target/review-3/$(basename "$source" .cpp)"
done
