#!/usr/bin/env bash
# Starts a stand-in of the platform, backend servers and three daemons on the loopback interface,
# sends requests through every daemon and stops the processes. With --keep it waits for Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")"
mvn -q -B -ntp -DskipTests package -pl standins,tool -am

work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

classpath=standins/target/classes:$(<standins/target/classpath.txt)
export JAVA_OPTIONS=-Xmx256m
run() { # NAME COMMAND...
  "${@:2}" >"$work/$1.log" 2>&1 &
  pids+=($!)
}
stand_in() { # NAME MAIN ARGS...
  run "$1" java -Xmx256m --add-opens java.base/jdk.internal.misc=ALL-UNNAMED -cp "$classpath" "${@:2}"
}

platform=127.0.0.1:17300
stand_in platform org.geraniumusher.standin.platform.PlatformMain $platform
backends=()
port=17500
for spec in catalogue:6 firing:3 cleft-register:6 kiln-ledger:3; do
  for i in $(seq "${spec#*:}"); do
    backends+=("${spec%:*}-$i=127.0.0.1:$port")
    port=$((port + 1))
  done
done
stand_in backends org.geraniumusher.standin.backend.BackendMain "${backends[@]}"

daemons=()
centres=(lautoka-a nadi-b latgale-a)
regions=(viti-west viti-west latgale)
for i in 0 1 2; do
  base=$((17400 + i * 10))
  cat >"$work/entry-$i.toml" <<TOML
name = "entry-$i"
data_centre = "${centres[$i]}"
region = "${regions[$i]}"
seeds = ["127.0.0.1:17402", "127.0.0.1:17412"]

[addresses]
caller = "127.0.0.1:$base"
forward = "127.0.0.1:$((base + 1))"
peer = "127.0.0.1:$((base + 2))"
operator = "127.0.0.1:$((base + 3))"
platform = "$platform"
TOML
  run "entry-$i" bin/geraniumusherd "$work/entry-$i.toml"
  daemons+=("127.0.0.1:$base")
done

if ! java -cp "$classpath" org.geraniumusher.standin.demo.DemoMain $platform "${daemons[@]}"; then
  tail -n 20 "$work"/*.log
  exit 1
fi
if [ "${1:-}" = "--keep" ]; then
  echo "logs are in $work; stop with Ctrl-C; to use the tool:"
  echo "  export GERANIUMUSHER_DAEMON=127.0.0.1:17403,127.0.0.1:17413,127.0.0.1:17423"
  echo "  bin/geraniumusher daemons"
  wait
fi
