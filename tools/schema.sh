#!/usr/bin/env bash
# Generates src/libprotocol/generated from the schema. Needs flatbuffers-compiler, which the build does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o src/libprotocol/generated src/libprotocol/schema/frame.fbs
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o src/libprotocol/generated src/libprotocol/schema/peer.fbs
