#!/usr/bin/env bash
# Replaces every entry and some sidecars of the example site, one after the other, by SIGTERM under load. No request may be lost.
# Usage: rolling.sh [SITE]
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${DAISYMOUNT_BUILD:-$ROOT/build}
SITE=${1:-kiivrivahi}
RUN=$BUILD/run/rolling-$SITE
rm -rf "$RUN" && mkdir -p "$RUN"
. "$ROOT/buildscripts/site.sh"
trap stop_all EXIT
bring_up
: >"$RUN/events.txt"
"$BUILD/standins/traffic" --entries="$(entry_list)" --model=model --plain=records --key="$API_KEY" \
    --upstreams="$RUN/upstreams.txt" --events="$RUN/events.txt" --seconds=$((ENTRIES * 4 + 12)) >"$RUN/traffic.log" 2>&1 &
TRAFFIC=$!
sleep 2
FAILED=0

# replace NAME STARTER...: stops a process gracefully, waits for its own end, starts it anew.
replace() {
    local name=$1 pid=${PID_OF[$1]}
    shift
    stop "$name" TERM
    wait "$pid"
    local code=$?
    [ $code = 0 ] || { echo "$name ended with $code"; FAILED=1; }
    "$@"
    sleep 0.8
}

for i in $(seq 1 $ENTRIES); do replace "entry-$i" start_entry "$i"; done
for name in model-1 model-2 records-1; do replace "$name" start_sidecar "$name"; done
wait $TRAFFIC || FAILED=1
tail -22 "$RUN/traffic.log"
grep -q "connections broken: 0" "$RUN/traffic.log" || { echo "a graceful stop broke a connection"; FAILED=1; }
echo "rolling replacement of $SITE: $([ $FAILED = 0 ] && echo passed || echo FAILED)"
exit $FAILED
