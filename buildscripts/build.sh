#!/usr/bin/env bash
# Configures and builds. Usage: build.sh BUILD_FOLDER [CMake options]
set -eu
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=$1
shift
mkdir -p "$BUILD"
cmake -S "$ROOT" -B "$BUILD" -G Ninja "$@" >"$BUILD/configure.log" || { cat "$BUILD/configure.log"; exit 1; }
cmake --build "$BUILD" -- --quiet
