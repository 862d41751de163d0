#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each with RUNS inputs from a fixed SEED, starting from the cases in tests/fuzz/cases.
# `tools/fuzz.sh RUNS SEED` sets both; an input that crashes is left in build-fuzz/ and should be added to the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-200000}"
seed="${2:-1}"
build="${KINGCUPTRAIL_FUZZ_BUILD:-build-fuzz}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DKINGCUPTRAIL_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang > /dev/null
targets=(packet report routes store peer)
cmake --build "$build" --target "${targets[@]/#/fuzz_}"
for target in "${targets[@]}"; do
    # New inputs go to the build folder and not to the cases, so that runs from the same seed are reproducible.
    found="$build/found-$target"
    rm -rf "$found" && mkdir -p "$found"
    "$build/tests/fuzz/fuzz_$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=5 -rss_limit_mb=1024 -print_final_stats=1 \
        -artifact_prefix="$build/crash-$target-" "$found" "tests/fuzz/cases/$target" 2> "$build/fuzz-$target.log" \
        || { tail -n 40 "$build/fuzz-$target.log"; exit 1; }
    echo "fuzz $target: $(grep -E 'number_of_executed_units' "$build/fuzz-$target.log"), $(grep -c . < <(ls "$found")) new inputs"
done
