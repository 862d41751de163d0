#!/usr/bin/env bash
# Runs clang-tidy over the project's own sources, or over the files named on the command line. The fuzzers have a build of
# their own (tools/fuzz.sh) and are checked with its compile commands; without that build they are skipped and listed.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${KINGCUPTRAIL_BUILD:-build}"
fuzzBuild="${KINGCUPTRAIL_FUZZ_BUILD:-build-fuzz}"
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '/generated/'); fi

lint() {
    xargs -r -P "$(nproc)" -n 1 clang-tidy -quiet -p "$1" 2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter|errors? generated' >&2)
}

isFuzzer='^tests/fuzz/'
printf '%s\n' "${files[@]}" | { grep -v "$isFuzzer" || true; } | lint "$build"
if [ -f "$fuzzBuild/compile_commands.json" ]; then
    printf '%s\n' "${files[@]}" | { grep "$isFuzzer" || true; } | lint "$fuzzBuild"
else
    printf '%s\n' "${files[@]}" | { grep "$isFuzzer" || true; } | sed 's/^/skipped, no fuzz build: /'
fi
