#!/usr/bin/env bash
# Builds the experiments and prints the table of docs/policy.md. A service name limits the run.
set -euo pipefail
cd "$(dirname "$0")/.."
# One Maven run, so that the classpath names the classes of the other modules.
mvn -q -B -ntp compile dependency:build-classpath -pl experiments -am \
  -Dmdep.outputFile=target/classpath.txt -Dmdep.includeScope=runtime >&2
exec java -Xmx2g -cp "experiments/target/classes:$(cat experiments/target/classpath.txt)" \
  org.geraniumusher.experiments.PolicyTable "$@"
