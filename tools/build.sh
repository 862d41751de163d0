#!/usr/bin/env bash
# Configures and builds everything in build/ (or the folder named by KINGCUPTRAIL_BUILD). Arguments go to cmake --build.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${KINGCUPTRAIL_BUILD:-build}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" "$@"
