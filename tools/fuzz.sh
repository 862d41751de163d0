#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each with RUNS inputs from a fixed SEED, starting from the cases in tests/fuzz/cases.
# `tools/fuzz.sh RUNS SEED` sets both; an input that crashes is left in build-fuzz/ and should be added to the cases. The same
# build, RUNS and SEED repeat a run, and the digest of the new inputs at the end of each line shows it.
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-200000}"
seed="${2:-1}"
build="${KINGCUPTRAIL_FUZZ_BUILD:-build-fuzz}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DKINGCUPTRAIL_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang > /dev/null
targets=(packet report routes store objects peer)
cmake --build "$build" --target "${targets[@]/#/fuzz_}"
for target in "${targets[@]}"; do
    # New inputs go to the build folder and not to the cases, so that runs from the same seed are reproducible. They also
    # depend on addresses (pointers that are compared become parts of inputs) and on the times at which libFuzzer reads its
    # inputs again and frees memory. Address randomisation and both timers are therefore off.
    found="$build/found-$target"
    rm -rf "$found" && mkdir -p "$found"
    setarch -R "$build/tests/fuzz/fuzz_$target" -runs="$runs" -seed="$seed" -reload=0 -purge_allocator_interval=-1 -max_len=4096 -timeout=5 -rss_limit_mb=1024 -print_final_stats=1 \
        -artifact_prefix="$build/crash-$target-" "$found" "tests/fuzz/cases/$target" 2> "$build/fuzz-$target.log" \
        || { tail -n 40 "$build/fuzz-$target.log"; exit 1; }
    echo "fuzz $target: $(grep -E 'number_of_executed_units' "$build/fuzz-$target.log"), $(grep -c . < <(ls "$found")) new inputs, digest $(ls "$found" | sha256sum | cut -c1-12)"
done
