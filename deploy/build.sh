#!/usr/bin/env bash
# Builds the entry daemon for the deploy file and records a class data archive, with which a start
# takes less processor time. Without the archive the daemon starts as well, only slower.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -ntp -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip package -pl platform -am

# Ports below the range that the system gives to clients, different for builds that run together.
port=$((20000 + $$ % 3000 * 4))
cat >target/entry/training.toml <<TOML
node = "training"
ip = "127.0.0.1"
zone = "training"
[listen]
front = "127.0.0.1:$port"
ready = "127.0.0.1:$((port + 1))"
control = "127.0.0.1:$((port + 2))"
[bounds]
grace_s = 1
[platform]
addr = "127.0.0.1:$((port + 3))"
TOML
GERANIUMUSHER_NODE_FILE=target/entry/training.toml timeout 60 java -Xmx96m -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -Xlog:disable --add-exports=java.base/jdk.internal.misc=ALL-UNNAMED \
    -XX:ArchiveClassesAtExit=target/entry/entry.jsa -jar target/entry/geraniumusher-entryd.jar 0 train \
  || echo "no class data archive" >&2
