#!/usr/bin/env bash
# Builds the two Debian packages, kingcuptraild and kingcuptrailctl, into build/packages.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${KINGCUPTRAIL_BUILD:-build}"
tools/build.sh --target kingcuptraild kingcuptrailctl
(cd "$build" && cpack -B packages > /dev/null)
ls "$build"/packages/*.deb
