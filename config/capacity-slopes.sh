#!/usr/bin/env bash
# Builds the experiments and prints the slopes that docs/CAPACITY.md is worked out from. Names of
# main classes limit the run.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -ntp compile dependency:build-classpath -pl experiments -am \
  -Dmdep.outputFile=target/classpath.txt -Dmdep.includeScope=runtime >&2
classes=("$@")
if [ $# -eq 0 ]; then
  classes=(ShardSlopes DetectorSlopes GrantSlopes ConfigurationSlopes RequestSlopes)
fi
for class in "${classes[@]}"; do
  java -Xmx1g -cp "experiments/target/classes:$(cat experiments/target/classpath.txt)" \
    "org.geraniumusher.experiments.$class"
done
