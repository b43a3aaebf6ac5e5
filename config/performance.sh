#!/usr/bin/env bash
# Builds the experiments, starts a platform, two backend servers and two daemons as processes on the
# loopback interface and prints the table of docs/performance.md. The server of data centre 0 has
# its gateway in the daemon that takes the requests, the one of data centre 1 in the other daemon.
# Numbers of connections as arguments limit the run.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${GERANIUMUSHER_CLASSPATH:-}" ]; then
  mvn -q -B -ntp compile dependency:build-classpath -pl experiments -am \
    -Dmdep.outputFile=target/classpath.txt -Dmdep.includeScope=runtime >&2
  GERANIUMUSHER_CLASSPATH="experiments/target/classes:$(cat experiments/target/classpath.txt)"
fi

work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

java_run=(java -Xmx256m --add-opens java.base/jdk.internal.misc=ALL-UNNAMED)
java_run+=(-cp "$GERANIUMUSHER_CLASSPATH")
run() { # NAME MAIN ARGS...
  "${java_run[@]}" "${@:2}" >"$work/$1.log" 2>&1 &
  pids+=($!)
}

port=${PERFORMANCE_PORT:-18300}
platform=127.0.0.1:$port
servers=(127.0.0.1:$((port + 1)) 127.0.0.1:$((port + 2)))
run platform org.geraniumusher.standin.platform.PlatformMain $platform
run backends org.geraniumusher.standin.backend.BackendMain \
  "server-0=${servers[0]}" "server-1=${servers[1]}"
for i in 0 1; do
  base=$((port + 10 + i * 10))
  cat >"$work/entry-$i.toml" <<TOML
name = "entry-$i"
data_centre = "centre-$i"
region = "region"
log_level = "warning"
seeds = ["127.0.0.1:$((port + 12))"]

[addresses]
caller = "127.0.0.1:$base"
forward = "127.0.0.1:$((base + 1))"
peer = "127.0.0.1:$((base + 2))"
operator = "127.0.0.1:$((base + 3))"
platform = "$platform"
TOML
  run "entry-$i" org.geraniumusher.daemon.Main "$work/entry-$i.toml"
done

if ! "${java_run[@]}" org.geraniumusher.experiments.PerformanceTable \
  $platform "${servers[@]}" "127.0.0.1:$((port + 10))" "${pids[2]}" "${pids[3]}" "$@"; then
  tail -n 20 "$work"/*.log >&2
  exit 1
fi
