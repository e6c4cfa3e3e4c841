#!/bin/sh
# Regenerates the committed protobuf classes. Needs protoc 3.21 (Debian package protobuf-compiler).
set -eu
cd "$(dirname "$0")/../../.."
rm -rf src/main/java/org/yuccabank/protocol/generated src/main/java/org/yuccabank/state/generated
protoc --proto_path=src/main/proto --java_out=lite:src/main/java \
  src/main/proto/wire.proto src/main/proto/state.proto
