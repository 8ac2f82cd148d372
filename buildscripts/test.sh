#!/usr/bin/env bash
# Runs all checks: format, build with warnings as errors, linter, every test program, models, scenarios.
# Usage: test.sh [--quick]; --quick leaves out the linter, the sanitizer builds and the large models.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
cd "$ROOT" || exit 1
QUICK=${1:-}
BUILD=${DAISYMOUNT_BUILD:-$ROOT/build}
FAILED=0
# Entries of KNOWN-RED.txt that begin with "test PROGRAM GROUP.NAME:" are passed over by that test program.
DAISYMOUNT_KNOWN_RED=$(sed -nE 's/^test ([^ ]+) ([^ :]+):.*/\1:\2/p' KNOWN-RED.txt | tr '\n' ' ')
export DAISYMOUNT_KNOWN_RED

step() {
    local name=$1
    shift
    echo "== $name"
    if "$@"; then echo "-- $name: passed"; else echo "-- $name: FAILED"; FAILED=1; fi
}

check_format() {
    git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
}

# sanitized NAME SANITIZERS: builds with them and runs all test programs.
sanitized() {
    "$ROOT/buildscripts/build.sh" "$ROOT/build-$1" -DDAISYMOUNT_SANITIZER="$2" \
        && TSAN_OPTIONS="suppressions=$ROOT/buildscripts/tsan.supp" ctest --test-dir "$ROOT/build-$1" --output-on-failure -j 4
}

step install "$ROOT/buildscripts/install.sh"
step format check_format
step build "$ROOT/buildscripts/build.sh" "$BUILD"
step tests ctest --test-dir "$BUILD" --output-on-failure -j 4
if [ "$QUICK" != --quick ]; then
    step "release build" "$ROOT/buildscripts/build.sh" "$ROOT/build-release" -DCMAKE_BUILD_TYPE=Release
    step models "$ROOT/models/check.sh" "$BUILD/models"
    step "address and undefined behaviour sanitizers" sanitized asan address,undefined
    step "thread sanitizer" sanitized tsan thread
    step "end to end" "$ROOT/buildscripts/e2e.sh" 1
    step "rolling replacement" "$ROOT/buildscripts/rolling.sh"
    step linter "$ROOT/buildscripts/lint.sh" "$BUILD"
fi
[ -s "$ROOT/KNOWN-RED.txt" ] && { echo "== known red, passed over:"; cat "$ROOT/KNOWN-RED.txt"; }
exit $FAILED
