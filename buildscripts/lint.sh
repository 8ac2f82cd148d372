#!/usr/bin/env bash
# Runs clang-tidy on all sources. Usage: lint.sh BUILD_FOLDER
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
cd "$ROOT" || exit 1
git ls-files 'src/*.cpp' 'standins/*.cpp' | grep -v /tests/ | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$1" 2>/dev/null
