#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/8 into build-review-2/, from review/standins-2/ and the parts of the
# project's sources that they use. Needs the packages of tools/packages.txt and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -DASIO_STANDALONE -DSPDLOG_FMT_EXTERNAL -I. -Isrc -Itests)
sources=(review/standins-2/*.cpp
    src/libhttp/http.cpp src/libhttp/httpclient.cpp src/libhttp/httpmessagereader.cpp src/libhttp/httpserver.cpp
    src/libplatform/delay.cpp src/libruntime/clock.cpp src/libruntime/datagramsocket.cpp
    tests/scenarios/runner/childprocess.cpp tests/scenarios/runner/relay.cpp)
objects=()
pids=()
compile() {
    local object="$out/objects/$(echo "$1" | tr / _).o"
    g++ "${flags[@]}" -c "$1" -o "$object"
}
for source in "${sources[@]}" review/[4-8]/*.cpp; do
    compile "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in "${sources[@]}"; do objects+=("$out/objects/$(echo "$source" | tr / _).o"); done
for case in review/[4-8]/*.cpp; do
    g++ "$out/objects/$(echo "$case" | tr / _).o" "${objects[@]}" -lhttp_parser -lpthread -o "$out/$(basename "$case" .cpp)"
done
