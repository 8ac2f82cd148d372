#!/usr/bin/env bash
# Builds daisymount, starts an example site on loopback, sends it work while an availability zone leaves and returns,
# prints a table and exits with 1 when a promise was broken. Usage: demo.sh [cooperativa|kiivrivahi] [seconds]
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${DAISYMOUNT_BUILD:-$ROOT/build}
SITE=${1:-cooperativa}
SECONDS_OF_WORK=${2:-24}
"$ROOT/buildscripts/install.sh" || exit 1
"$ROOT/buildscripts/build.sh" "$BUILD" || exit 1
RUN=$BUILD/run/$SITE
rm -rf "$RUN" && mkdir -p "$RUN"
. "$ROOT/buildscripts/site.sh"
trap stop_all EXIT
echo "starting $SITE: $ENTRIES entries, $((MODELS + RECORDS)) sidecars and stand-ins"
bring_up
ZONE=${ZONES[1]}
: >"$RUN/events.txt"
echo "sending work for $SECONDS_OF_WORK s"
"$BUILD/standins/traffic" --entries="$(entry_list)" --model=model --plain=records --key="$API_KEY" \
    --upstreams="$RUN/upstreams.txt" --events="$RUN/events.txt" --seconds="$SECONDS_OF_WORK" &
TRAFFIC=$!
sleep $((SECONDS_OF_WORK / 4))
echo "taking $ZONE out"
ctl zone out "$ZONE" | tail -1
echo "zone-out $ZONE $(now_ms)" >>"$RUN/events.txt"
sleep $((SECONDS_OF_WORK / 3))
echo "bringing $ZONE back"
echo "zone-in $ZONE $(now_ms)" >>"$RUN/events.txt"
ctl zone in "$ZONE" | tail -1
wait $TRAFFIC
VERDICT=$?
ctl report burn --html="$RUN/burn.html" >"$RUN/burn.txt"
echo "  service-level report: $RUN/burn.html"
exit $VERDICT
