#!/usr/bin/env bash
# Prints one table per item with target, baseline, figure and ratio. Usage: bench.sh [NAME...], see bench --help; datapath too.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${DAISYMOUNT_BUILD:-$ROOT/build}
"$ROOT/buildscripts/install.sh" || exit 1
"$ROOT/buildscripts/build.sh" "$BUILD" || exit 1

datapath() {
    SITE=kiivrivahi
    RUN=$BUILD/run/datapath
    rm -rf "$RUN" && mkdir -p "$RUN"
    . "$ROOT/buildscripts/site.sh"
    trap stop_all EXIT
    start_platform
    start engine-1 "$BUILD/standins/standin_engine" --address="127.$OCTET.2.1:9000" --token-ms=5 --cold-bears=1000
    node_settings model-1 sidecar tallinn-a "127.$OCTET.2.1:8080" "127.$OCTET.2.1:9000"
    node_settings entry-1 entry tallinn-a "127.$OCTET.1.1:8080"
    start_sidecar model-1
    start_entry 1
    cat >"$RUN/site.toml" <<CONFIG
site = "datapath"
[zones.tallinn-a]
region = "ee-north"
[services.model]
[services.model.admission]
warm_concurrency = 200
cold_concurrency = 200
[organisations.bench]
api_key = "bench"
tokens_per_second = 10000000
burst_tokens = 10000000
[entries.entry-1]
zone = "tallinn-a"
address = "127.$OCTET.1.1:8080"
[upstreams.model-1]
service = "model"
zone = "tallinn-a"
address = "127.$OCTET.2.1:8080"
CONFIG
    sleep 1
    ctl apply --wait=10000 "$RUN/site.toml" >"$RUN/apply.log" || { cat "$RUN/apply.log"; return 1; }
    local streams
    for streams in 1 8 32; do
        "$BUILD/bench/datapath" --engine="127.$OCTET.2.1:9000" --entry="127.$OCTET.1.1:8080" --key=bench \
            --pids="${PID_OF[entry-1]},${PID_OF[model-1]}" --streams="$streams" --rounds=$((streams == 1 ? 60 : 12))
    done
}

if [ $# -eq 0 ]; then
    "$BUILD/bench/bench"
    datapath
elif [ "$1" = datapath ]; then
    datapath
else
    "$BUILD/bench/bench" "$@"
fi
