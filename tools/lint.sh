#!/usr/bin/env bash
# Runs clang-tidy over the project's own sources, or over the files named on the command line.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${KINGCUPTRAIL_BUILD:-build}"
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '/generated/'); fi
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -n 1 clang-tidy -quiet -p "$build" 2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter|errors? generated' >&2)
