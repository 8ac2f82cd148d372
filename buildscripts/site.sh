# Functions that start and end one example site on loopback. Sourced by the demo and the end-to-end run.
#
# Uses: ROOT (repository), BUILD (build folder), SITE (example name), RUN (folder for logs and settings of this run).

BIN_DAEMON="$BUILD/src/daemon/daisymountd"
BIN_CTL="$BUILD/src/ctl/daisymountctl"
declare -A PID_OF

case "$SITE" in
cooperativa) OCTET=30; ENTRIES=7; ZONES=(paredes penafiel lousada); API_KEY=order-desk-demo-key ;;
kiivrivahi) OCTET=31; ENTRIES=6; ZONES=(tallinn-a tallinn-b tallinn-c); API_KEY=label-photos-demo-key ;;
*) echo "unknown site $SITE"; exit 1 ;;
esac
STORE="127.$OCTET.0.1:2379"
VMLIST="127.$OCTET.0.2:8080"
MODELS=12
RECORDS=3

# start NAME COMMAND...: runs a process in the background and remembers its id.
start() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID_OF[$name]=$!
}

# stop NAME [SIGNAL]: ends one process of this run.
stop() {
    local name=$1 signal=${2:-TERM}
    [ -n "${PID_OF[$name]:-}" ] && kill "-$signal" "${PID_OF[$name]}" 2>/dev/null
    return 0
}

stop_all() {
    local name
    for name in "${!PID_OF[@]}"; do stop "$name" CONT; stop "$name" KILL; done
    wait 2>/dev/null
    return 0
}

now_ms() { date +%s%3N; }

# node_settings NAME ROLE ZONE ADDRESS [ENGINE]
node_settings() {
    cat >"$RUN/$1.toml" <<SETTINGS
[node]
name = "$1"
role = "$2"
zone = "$3"
address = "$4"
seeds = ["127.$OCTET.1.1:8080", "127.$OCTET.1.2:8080", "127.$OCTET.1.3:8080"]
[platform]
store = "$STORE"
vm_list = "$VMLIST"
SETTINGS
    if [ -n "${5:-}" ]; then printf '[engine]\naddress = "%s"\n' "$5" >>"$RUN/$1.toml"; fi
}

start_platform() {
    start store "$BUILD/standins/standin_platformstore" --address="$STORE"
    start vmlist "$BUILD/standins/standin_vmlist" --address="$VMLIST"
}

start_entry() { start "entry-$1" "$BIN_DAEMON" --settings="$RUN/entry-$1.toml"; }
start_sidecar() { start "$1" "$BIN_DAEMON" --settings="$RUN/$1.toml"; }

start_upstreams() {
    local i zone
    : >"$RUN/upstreams.txt"
    for i in $(seq 1 $MODELS); do
        zone=${ZONES[$(((i - 1) % 3))]}
        start "engine-$i" "$BUILD/standins/standin_engine" --address="127.$OCTET.2.$i:9000"
        node_settings "model-$i" sidecar "$zone" "127.$OCTET.2.$i:8080" "127.$OCTET.2.$i:9000"
        echo "model-$i $zone model 127.$OCTET.2.$i:9000" >>"$RUN/upstreams.txt"
        start_sidecar "model-$i"
    done
    for i in $(seq 1 $RECORDS); do
        zone=${ZONES[$(((i - 1) % 3))]}
        start "service-$i" "$BUILD/standins/standin_plainservice" --address="127.$OCTET.3.$i:9000"
        node_settings "records-$i" sidecar "$zone" "127.$OCTET.3.$i:8080" "127.$OCTET.3.$i:9000"
        echo "records-$i $zone plain 127.$OCTET.3.$i:9000" >>"$RUN/upstreams.txt"
        start_sidecar "records-$i"
    done
}

start_entries() {
    local i
    for i in $(seq 1 $ENTRIES); do
        node_settings "entry-$i" entry "${ZONES[$(((i - 1) % 3))]}" "127.$OCTET.1.$i:8080"
        start_entry "$i"
    done
}

entry_list() {
    local i list=""
    for i in $(seq 1 $ENTRIES); do list="$list,127.$OCTET.1.$i:8080"; done
    echo "${list:1}"
}

ctl() { "$BIN_CTL" "$@" --store="$STORE"; }

# bring_up: starts the whole site and applies its configuration.
bring_up() {
    start_platform
    start_upstreams
    start_entries
    local try
    for try in $(seq 1 20); do
        ctl apply --wait=15000 "$ROOT/examples/base.toml" "$ROOT/examples/$SITE.toml" >"$RUN/apply.log" 2>&1 && break
        sleep 0.3
    done
    tail -1 "$RUN/apply.log"
}
