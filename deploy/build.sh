#!/usr/bin/env bash
# Builds the entry daemon for the deploy file and records a class data archive, with which a start
# takes less processor time. Without the archive the daemon starts as well, only slower.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -ntp -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip package -pl platform -am
GERANIUMUSHER_NODE_FILE=deploy/training.toml java -Xmx96m -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 --add-exports=java.base/jdk.internal.misc=ALL-UNNAMED \
    -XX:ArchiveClassesAtExit=target/entry/entry.jsa -jar target/entry/geraniumusher-entryd.jar 0 train \
  || echo "no class data archive" >&2
