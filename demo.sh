#!/usr/bin/env bash
# Starts stand-ins of the platform's store and of backend servers and three entry daemons on the
# loopback interface, sends requests through every daemon and stops the processes. With --keep it
# goes on until Ctrl-C, for the command-line tool.
set -euo pipefail
cd "$(dirname "$0")"
bash deploy/build.sh
mvn -q -B -ntp -Dspotless.check.skip -Dcheckstyle.skip -DskipTests test-compile \
  dependency:build-classpath -Dmdep.outputFile=target/demo-classpath.txt -pl platform -am
mvn -q -B -ntp -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip package -pl tool -am

work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

store=127.0.0.1:18300
callers=()
for i in 0 1 2; do
  base=$((18400 + i * 10))
  cat >"$work/entry-$i.toml" <<TOML
node = "entry-$i"
ip = "127.0.0.1"
zone = "z1"
seeds = ["127.0.0.1:18402", "127.0.0.1:18412", "127.0.0.1:18422"]
[listen]
front = "127.0.0.1:$base"
ready = "127.0.0.1:$((base + 1))"
control = "127.0.0.1:$((base + 2))"
[platform]
addr = "$store"
TOML
  GERANIUMUSHER_NODE_FILE="$work/entry-$i.toml" java -Xmx96m -XX:+UseSerialGC \
    --add-exports=java.base/jdk.internal.misc=ALL-UNNAMED \
    -jar target/entry/geraniumusher-entryd.jar $((base + 3)) >"$work/entry-$i.log" 2>&1 &
  pids+=($!)
  callers+=("127.0.0.1:$base")
done
if [ "${1:-}" = "--keep" ]; then
  echo "logs are in $work; stop with Ctrl-C; to use the tool:"
  echo "  export GERANIUMUSHER_DAEMON=127.0.0.1:18403,127.0.0.1:18413,127.0.0.1:18423"
  echo "  bin/geraniumusher daemons"
  echo "  bin/geraniumusher drain night --selector service=keyed,server=k0"
fi
java -Xmx128m --add-exports=java.base/jdk.internal.misc=ALL-UNNAMED \
  -cp "platform/target/test-classes:$(<platform/target/demo-classpath.txt)" \
  org.geraniumusher.adapter.SiteMain "${store#*:}" "${callers[@]}" "$@"
