#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test. --long adds the long seeded runs.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/packages.sh
tools/build.sh
labels=(-LE long)
[ "${1:-}" = "--long" ] && labels=()
# A test named in KNOWN-RED.txt is a real fault that is not mended yet: it is printed and passed over.
known=()
if [ -f KNOWN-RED.txt ] && grep -qvE '^\s*(#|$)' KNOWN-RED.txt; then
    echo "Known red, passed over:"
    grep -vE '^\s*(#|$)' KNOWN-RED.txt
    known=(-E "^($(grep -vE '^\s*(#|$)' KNOWN-RED.txt | cut -d, -f1 | paste -sd '|'))\$")
fi
ctest --test-dir "${KINGCUPTRAIL_BUILD:-build}" --output-on-failure -j 6 "${labels[@]}" "${known[@]}"
