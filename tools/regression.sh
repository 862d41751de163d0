#!/usr/bin/env bash
# Runs the platform bench's `score` and `hunt` on the deployments that every release is measured on, one job at a time.
#   tools/regression.sh BENCH SITES OUTPUT
# BENCH is the platform's bench, SITES the folder of its deployments, OUTPUT the folder for its output. Exits with an error
# when a deployment does not pass its gate or a hunt ends with an error.
set -euo pipefail
bench="$(realpath "$1")"
sites="$(realpath "$2")"
mkdir -p "$3"
output="$(realpath "$3")"
cd "$(dirname "$0")/.."

# Deployments and the number of days to hunt. Large ones get fewer, since each of their days runs for minutes.
deployments=(
    "further/tadlaght-lofts 40"
    "further-grown/tadlaght-lofts-grown 8"
    "grown/crpt-permits-grown 8"
    "grown/lipnik-hiu-grown 8"
    "large/crpt-permits-large 8"
)

failed=0
for deployment in "${deployments[@]}"; do
    read -r site days <<< "$deployment"
    name="$(basename "$site")"
    "$bench" score "$sites/$site.toml" --jobs 1 --why "Regression run" > "$output/$name-score.txt" 2>&1 || true
    grep -q "^GATE passed" "$output/$name-score.txt" || { echo "$name: gate not passed"; failed=1; }
    "$bench" hunt "$sites/$site.toml" --days "$days" --jobs 1 --why "Regression run" > "$output/$name-hunt.txt" 2>&1 || { echo "$name: hunt ended with an error"; failed=1; }
done
exit "$failed"
