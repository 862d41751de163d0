#!/usr/bin/env bash
# Plays the case of the folder that is named: starts the daemons of the deploy file on loopback addresses, with stand-ins
# around them, and writes record.txt there. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
program="$PWD/target/src/kingcuptraild/kingcuptraild"
stand_in="$PWD/target/review/case$1"
if [ ! -x "$program" ] || [ ! -x "$stand_in" ]; then
    echo "build the deploy file's daemon and run review/build.sh first" >&2
    exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
export REVIEW_DAEMON="$program" REVIEW_FOLDER="$folder" REVIEW_RECORD="$PWD/review/$1/record.txt"
timeout --kill-after=5 115 "$stand_in"
result=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
[ "$result" -le 1 ] || result=2
exit "$result"
