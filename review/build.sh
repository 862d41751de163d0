#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review. Needs g++, libasio-dev and nlohmann-json3-dev, which the
# deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -DASIO_STANDALONE -Ireview/standins -pthread)
for source in world driver; do
    g++ "${flags[@]}" -c "review/standins/$source.cpp" -o "target/review/$source.o" &
done
wait
for case in review/[0-9]/case.cpp; do
    number="$(basename "$(dirname "$case")")"
    g++ "${flags[@]}" "$case" target/review/world.o target/review/driver.o -o "target/review/case$number"
done
