#!/usr/bin/env bash
# End to end with real processes: the example site under load while entries, sidecars, engines and the store are killed,
# stopped and restarted at seeded moments. Judged by the promise checkers, not by times. Usage: e2e.sh [SEED] [SITE]
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${DAISYMOUNT_BUILD:-$ROOT/build}
SEED=${1:-1}
SITE=${2:-cooperativa}
LENGTH=24
RUN=$BUILD/run/e2e-$SITE-$SEED
rm -rf "$RUN" && mkdir -p "$RUN"
. "$ROOT/buildscripts/site.sh"
trap stop_all EXIT
RANDOM=$SEED
bring_up
: >"$RUN/events.txt"
"$BUILD/standins/traffic" --entries="$(entry_list)" --model=model --plain=records --key="$API_KEY" \
    --upstreams="$RUN/upstreams.txt" --events="$RUN/events.txt" --seconds=$LENGTH --seed="$SEED" --allow-lost >"$RUN/traffic.log" 2>&1 &
TRAFFIC=$!

# pick PREFIX COUNT: a random process name.
pick() { echo "$1-$((RANDOM % $2 + 1))"; }

fault() {
    local name
    case $((RANDOM % 7)) in
    0) name=$(pick entry $ENTRIES); echo "kill $name"; stop "$name" KILL; sleep 0.5; start_entry "${name#entry-}" ;;
    1) name=$(pick model $MODELS); echo "kill $name"; stop "$name" KILL; sleep 0.5; start_sidecar "$name" ;;
    2) name=$(pick records $RECORDS); echo "kill $name"; stop "$name" KILL; sleep 0.5; start_sidecar "$name" ;;
    3) name=$(pick entry $ENTRIES); echo "stop and continue $name"; stop "$name" STOP; sleep 1.5; stop "$name" CONT ;;
    4) name=$(pick records $RECORDS); echo "stop and continue $name"; stop "$name" STOP; sleep 1.5; stop "$name" CONT ;;
    5) name=$(pick engine $MODELS); echo "stop and continue $name"; stop "$name" STOP; sleep 1.5; stop "$name" CONT ;;
    6) echo "stop and continue store"; stop store STOP; sleep 1.5; stop store CONT ;;
    esac
}

for _ in $(seq 1 9); do
    sleep 0.7
    fault
done
wait $TRAFFIC
VERDICT=$?
tail -22 "$RUN/traffic.log"
echo "e2e $SITE seed $SEED: $([ $VERDICT = 0 ] && echo passed || echo FAILED)"
exit $VERDICT
