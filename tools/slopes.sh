#!/usr/bin/env bash
# Measures the resource use of a running balancer and a running agent with 5, 20, 80 and 300 peers, and of an agent's flows.
# Prints one JSON row for each measurement. Uses only loopback; ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build="$PWD/${KINGCUPTRAIL_BUILD:-build}"
work="$(mktemp -d)"
pids=()
end_all() {
    for pid in "${pids[@]}"; do
        disown "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    pids=()
}
trap 'end_all; rm -rf "$work"' EXIT
start() {
    : > "$work/out"
    "$@" > "$work/out" 2>> "$work/err" &
    pids+=($!)
}
start_platform() {
    start "$build/tests/standins/platform/standin_platform" --listen=127.0.0.1:0
    until grep -q listening "$work/out"; do sleep 0.05; done
    platform="$(awk '$1 == "listening" { print $2 }' "$work/out")"
    case "$platform" in *:*) ;; *) platform="127.0.0.1:$platform" ;; esac
}
start_daemon() {
    printf '{"role":"%s","name":"measured","dataCentre":"north","listen":"127.0.0.1:%s","admin":"127.0.0.1:%s","platform":"%s"%s}' \
        "$1" "$port" "$((port + 1))" "$platform" "$2" > "$work/settings.json"
    start "$build/src/kingcuptraild/kingcuptraild" --settings="$work/settings.json"
    daemon="${pids[-1]}"
    sleep 1
}
port="${SLOPES_PORT:-19700}"
measure_balancer() {
    start_platform
    start_daemon balancer ""
    "$build/bench/kingcuptrail-slopes/kingcuptrail-slopes" --platform="$platform" --pid="$daemon" "$@"
    end_all
}
measure_agent() {
    start_platform
    start_daemon agent ',"agent":{"upstreamName":"measured","service":"service-0","upstream":"127.0.0.1:9"}'
    "$build/bench/kingcuptrail-slopes/kingcuptrail-slopes" --platform="$platform" --pid="$daemon" --agent="127.0.0.1:$port" "$@"
    end_all
}
seconds="${SLOPES_SECONDS:-10}"
for peers in 5 20 80 300; do measure_balancer --peers="$peers" --services=20 --seconds="$seconds"; done
for peers in 5 20 80 300; do measure_balancer --peers="$peers" --services=20 --changes=5 --seconds="$seconds"; done
for services in 20 200 1900; do measure_balancer --peers=20 --services="$services" --changes=5 --seconds="$seconds"; done
for peers in 5 20 80 300; do measure_agent --peers="$peers" --seconds="$seconds"; done
for flows in 2000 5000 20000; do measure_agent --peers=5 --flows="$flows" --seconds="$seconds"; done
