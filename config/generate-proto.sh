#!/usr/bin/env bash
# Generates the committed Java code of peer.proto again. Only needed after the file has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
version=$(sed -n 's|.*<protobuf.version>\(.*\)</protobuf.version>.*|\1|p' pom.xml)
mvn -q -B -ntp dependency:copy -N \
  -Dartifact=com.google.protobuf:protoc:"$version":exe:linux-x86_64 -DoutputDirectory=target/protoc
protoc=target/protoc/protoc-"$version"-linux-x86_64.exe
chmod +x "$protoc"
"$protoc" --java_out=daemon/src/generated/java --proto_path=daemon/src/main/proto peer.proto
