#!/usr/bin/env bash
# Builds, then runs a deployment of three data centres on loopback with feeds, queries and filings while a balancer is killed,
# an upstream drains, and a data centre is taken out and brought back. The last line is a summary in JSON; the exit code is
# not 0 when a promise was broken. Leaves no process behind, even when interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" != "--no-build" ]; then
    tools/packages.sh
    tools/build.sh
fi
build="$PWD/${KINGCUPTRAIL_BUILD:-build}"
standins="$build/tests/standins"
work="$(mktemp -d)"
declare -A pids=()
started=$SECONDS

# Ends every remaining process, each by its process id.
end_all() {
    trap - EXIT INT TERM
    local name tries
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2> /dev/null || true; done
    for tries in $(seq 60); do
        any_running || break
        sleep 0.1
    done
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2> /dev/null || true; done
    wait 2> /dev/null || true
    [ -n "${KINGCUPTRAIL_DEMO_KEEP:-}" ] && echo "files kept in $work" >&2 || rm -rf "$work"
}
any_running() {
    local name
    for name in "${!pids[@]}"; do kill -0 "${pids[$name]}" 2> /dev/null && return 0; done
    return 1
}
trap end_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

log() { printf '[%2d s] %s\n' $((SECONDS - started)) "$*"; }
fail() {
    echo "demo: $*" >&2
    exit 4
}
record_event() { "$standins/note/standin_note" --history="$work/operator.history" --event="$1"; }

# start NAME PROGRAM ARGUMENTS...: starts a program in the background; its output goes to files named after it.
start() {
    local name="$1"
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.err" &
    pids[$name]=$!
}
# port_of NAME: prints the port that a stand-in reports as listening.
port_of() {
    local tries
    for tries in $(seq 100); do
        awk '$1 == "listening" { print $2; found = 1; exit } END { exit !found }' "$work/$1.out" && return
        sleep 0.05
    done
    fail "$1 did not report a listening port"
}
# Sets `port` to a port on which no process listens.
next_port=$((20000 + RANDOM % 8000))
free_port() {
    while (exec 3<> "/dev/tcp/127.0.0.1/$next_port") 2> /dev/null; do next_port=$((next_port + 1)); done
    port=$next_port
    next_port=$((next_port + 1))
}
get() { # get PORT PATH
    exec 3<> "/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' "$2" >&3
    cat <&3
    exec 3>&-
}

start_upstream() { # start_upstream NAME SERVICE DATA_CENTRE
    start "$1" "$standins/upstream/standin_upstream" --name="$1" --service="$2" --data_centre="$3" --slots=5 \
        --cold_for_ms=2000 --feed_ms=250 --history="$work/$1.history"
}
start_agent() { # start_agent NAME SERVICE DATA_CENTRE UPSTREAM_PORT
    cat > "$work/agent-$1.json" << EOF
{ "role": "agent", "name": "agent-$1", "dataCentre": "$3", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
  "platform": "127.0.0.1:$platform_port",
  "agent": { "upstreamName": "$1", "service": "$2", "upstream": "127.0.0.1:$4" } }
EOF
    start "agent-$1" "$build/src/kingcuptraild/kingcuptraild" --settings "$work/agent-$1.json"
}
start_balancer() { # start_balancer NUMBER DATA_CENTRE
    cat > "$work/balancer-$1.json" << EOF
{ "role": "balancer", "name": "balancer-$1", "dataCentre": "$2", "listen": "127.0.0.1:${balancer_ports[$1]}",
  "admin": "127.0.0.1:${admin_ports[$1]}", "platform": "127.0.0.1:$platform_port" }
EOF
    start "balancer-$1" "$build/src/kingcuptraild/kingcuptraild" --settings "$work/balancer-$1.json"
    record_event "{\"event\":\"processStarted\",\"process\":\"balancer-$1\",\"role\":\"balancer\"}"
}
control() { "$build/src/kingcuptrailctl/kingcuptrailctl" --platform="127.0.0.1:$platform_port" "$@" > "$work/ctl.out" 2>&1; }
linked_members() { get "${admin_ports[$1]}" /status 2> /dev/null | grep -o '"linked":true' | wc -l; }
progress() {
    local line
    line="$(cat "$work"/caller-*.history | grep -oE '"event":"(answerWhole|feedItem|flowOpened|flowBroken|flowGivenUp|refusedNotRun|refusedUnknown)"' | sort | uniq -c | awk '{ gsub(/"event":|"/, "", $2); printf "%s %s, ", $2, $1 }')"
    log "${line%, }"
}
watch() { # watch SECONDS
    local end=$((SECONDS + $1))
    while [ $SECONDS -lt $end ]; do
        sleep 2
        progress
    done
}

log "starting 1 platform, 10 upstreams with their agents, 3 balancers, 1 fabric"
start platform "$standins/platform/standin_platform"
platform_port="$(port_of platform)"
data_centres=(north centre south)
upstreams=()
for index in 1 2 3 4 5 6 7; do upstreams+=("board-$index board ${data_centres[$((index % 3))]}"); done
for index in 1 2 3; do upstreams+=("intake-$index intake ${data_centres[$((index % 3))]}"); done
for upstream in "${upstreams[@]}"; do start_upstream $upstream; done
for upstream in "${upstreams[@]}"; do start_agent $upstream "$(port_of "${upstream%% *}")"; done
declare -A balancer_ports=() admin_ports=()
balancers=""
for index in 1 2 3; do
    free_port
    balancer_ports[$index]=$port
    free_port
    admin_ports[$index]=$port
    balancers+="${balancers:+,}127.0.0.1:${balancer_ports[$index]}"
    start_balancer $index "${data_centres[$((index - 1))]}"
done
start fabric "$standins/fabric/standin_fabric" --balancers="$balancers" --seed=7 \
    --duplicate=0.01 --drop=0.001 --delay_ms=2
fabric_port="$(port_of fabric)"

cat > "$work/config.json" << 'EOF'
{ "services": [
    { "name": "board", "address": "10.0.0.1:443", "dataCentres": ["north", "centre", "south"], "slots": 5, "warmUpMs": 3000 },
    { "name": "intake", "address": "10.0.0.2:443", "dataCentres": ["north", "centre", "south"], "slots": 5, "warmUpMs": 3000 } ],
  "dataCentres": [ { "name": "north" }, { "name": "centre" }, { "name": "south" } ] }
EOF
control apply --wait "$work/config.json" || fail "the configuration was not accepted: $(cat "$work/ctl.out")"
for index in 1 2 3; do
    for tries in $(seq 100); do
        [ "$(linked_members $index)" -ge 10 ] && break
        [ "$tries" -lt 100 ] || fail "balancer-$index is not linked to all agents"
        sleep 0.1
    done
done

load_seconds=33
log "configuration in force; starting feeds, queries and 2 MB filings"
start_caller() { # start_caller NAME SERVICE ADDRESS SEED ARGUMENTS...
    local name="$1" service="$2" address="$3" seed="$4"
    shift 4
    start "$name" "$standins/caller/standin_caller" --name="$name" --fabric="127.0.0.1:$fabric_port" --service="$address" \
        --service_name="$service" --seed="$seed" --seconds=$load_seconds --history="$work/$name.history" "$@"
}
start_caller caller-crews board 10.0.0.1:443 11 --feeds=70 --flows=70 --queries_per_second=100
start_caller caller-contractors intake 10.0.0.2:443 12 --flows=30 --filings=120 --filing_bytes=2097152

watch 4
log "killing balancer-2"
record_event '{"event":"processKilled","process":"balancer-2","role":"balancer"}'
kill -KILL "${pids[balancer-2]}"
wait "${pids[balancer-2]}" 2> /dev/null || true
watch 4
log "restarting balancer-2"
start_balancer 2 centre
watch 2
log "draining board-3: sending SIGTERM to its agent"
record_event '{"event":"drainBegan","process":"agent-board-3","role":"agent","upstream":"board-3"}'
record_event '{"event":"shutdownBegan","process":"agent-board-3","role":"agent","upstream":"board-3"}'
kill -TERM "${pids[agent-board-3]}"
watch 4
log "taking data centre south out"
record_event '{"event":"operatorTookOut","dataCentre":"south"}'
control take-out --wait south || fail "take-out: $(cat "$work/ctl.out")"
watch 8
log "bringing data centre south back"
control bring-back --wait south || fail "bring-back: $(cat "$work/ctl.out")"
record_event '{"event":"operatorBroughtBack","dataCentre":"south"}'
for caller in caller-crews caller-contractors; do
    while kill -0 "${pids[$caller]}" 2> /dev/null; do
        sleep 1
        progress
    done
    wait "${pids[$caller]}" || fail "$caller failed"
    log "$caller: $(tail -n 1 "$work/$caller.out")"
    unset "pids[$caller]"
done
for tries in $(seq 50); do
    kill -0 "${pids[agent-board-3]}" 2> /dev/null || break
    sleep 0.1
done
if wait_code=0 && ! kill -0 "${pids[agent-board-3]}" 2> /dev/null; then
    wait "${pids[agent-board-3]}" || wait_code=$?
    log "agent-board-3 exited with code $wait_code"
else
    fail "agent-board-3 has not exited"
fi

log "checking the histories"
code=0
"$build/bench/check/kingcuptrail-check" "$work"/*.history > "$work/check.out" || code=$?
result="$(cat "$work/check.out")"
end_all
echo "$result"
exit $code
