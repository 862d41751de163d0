#!/usr/bin/env bash
# Runs the fault soak for the seeds FIRST to LAST, four at a time, and lists the seeds that broke a promise. Further arguments go to
# the soak.
set -euo pipefail
cd "$(dirname "$0")/.."
first="${1:-1}" last="${2:-$first}"
options="${*:3}"
build="${KINGCUPTRAIL_BUILD:-build}"
logs="$(mktemp -d)"
seq "$first" "$last" | xargs -P 4 -I{} bash -c "$build/tests/soak/soak --seed={} $options > $logs/{}.log 2>&1 || echo {} >> $logs/failed"
if [ -f "$logs/failed" ]; then
    echo "seeds that broke a promise (logs in $logs): $(sort -n "$logs/failed" | paste -sd ' ')"
    exit 1
fi
echo "seeds $first to $last: all promises held"
rm -r "$logs"
