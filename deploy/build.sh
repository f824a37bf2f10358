#!/usr/bin/env bash
# Builds the daemon, a runtime image and an archive of its classes under target/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-jdk.sh
mvn -q -B -T4 -DskipTests -pl weirdaemon,weirbench -am package
cp target/weirdaemon/weirdaemon-0.1.0-SNAPSHOT-all.jar target/corianderweird.jar
rm -rf target/runtime target/classes.jsa
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,java.xml,java.desktop,jdk.unsupported \
  --strip-debug --no-header-files --no-man-pages --output target/runtime
target/runtime/bin/java -Xshare:dump -XX:+UseSerialGC >/dev/null

# A short run on loopback records the classes that starting and serving load. Two instances exchange
# messages, and requests are forwarded to stand-ins of backend servers. Without the archive a start
# and its first requests only take longer, so a port that is taken does not fail the build.
settings() { # name, first port
  cat <<INI
[instance]
name = $1
region = north
availability-zone = north-a
[fleet]
availability-zones = north-a/north
[callers]
address = 127.0.0.1:$2
readiness-address = 127.0.0.1:$(($2 + 1))
look-up-address = 127.0.0.1:$(($2 + 2))
longest-look-up-lifetime-seconds = 5
[peers]
port = $(($2 + 3))
[metrics]
port = $(($2 + 4))
[store]
address = 127.0.0.1:27584
heartbeat-milliseconds = 1500
[limits]
descriptors = 1000
[bounds]
stop-seconds = 3
retry-ratio = 0.2
retry-margin = 100
retry-window-seconds = 10
rate-overage = 0.1
rate-margin = 20
rate-window-seconds = 5
INI
}
settings archive-1 27586 > target/archive.ini
settings archive-2 27596 > target/archive-peer.ini
"$JAVA_HOME/bin/java" -jar target/weirbench/weirbench-0.1.0-SNAPSHOT-all.jar training --store-port 27584 \
  >/dev/null 2>&1 &
platform=$!
daemon=(target/runtime/bin/java -Xlog:disable -Xmx96m -Xmn8m -XX:+UseSerialGC -XX:TieredStopAtLevel=1)
program=(-jar target/corianderweird.jar --platform --settings)
sleep 1
"${daemon[@]}" "${program[@]}" target/archive-peer.ini >/dev/null 2>&1 &
peer=$!
# From version 25 on, the recording also holds classes in their linked state (JEP 483, JEP 514).
record=-XX:AOTCacheOutput=target/classes.jsa
target/runtime/bin/java "$record" -version >/dev/null 2>&1 || record=-XX:ArchiveClassesAtExit=target/classes.jsa
rm -f target/classes.jsa
"${daemon[@]}" "$record" "${program[@]}" target/archive.ini >/dev/null 2>&1 &
recorder=$!
send() { # port, request
  (
    exec 3<>"/dev/tcp/127.0.0.1/$1"
    printf '%b' "$2" >&3
    timeout 2 cat <&3 >/dev/null
  ) 2>/dev/null || true
}
sleep 3
head='Host: rota.example\r\nX-Api-Key: key-1\r\nAffinity-Key: 7\r\nDeadline-Ms: 2000\r\nConnection: close\r\n'
send 27587 'GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n'
send 27588 'GET /api/resolve?name=rota.example&region=north&zone=north-a HTTP/1.1\r\nHost: all\r\nConnection: close\r\n\r\n'
send 27590 'GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n'
for number in $(seq 12); do
  # The second half runs without the peer, so that the recorder watches the store itself.
  if [ "$number" = 7 ]; then
    kill "$peer" 2>/dev/null || true
  fi
  send 27586 "GET /read/x HTTP/1.1\r\nRequest-Id: read-$number\r\n$head\r\n"
  send 27586 "GET /read/x HTTP/1.1\r\nRequest-Id: both-$number\r\nHost: rota.example\r\nX-Api-Key: key-1\r\n\r\nGET /export/x HTTP/1.1\r\nRequest-Id: fetch-$number\r\n$head\r\n"
  send 27586 "POST /book/x HTTP/1.1\r\nRequest-Id: book-$number\r\nContent-Length: 4\r\n$head\r\nbody"
  send 27586 "POST /upload/x HTTP/1.1\r\nRequest-Id: chunk-$number\r\nTransfer-Encoding: chunked\r\n$head\r\n4\r\nbody\r\n0\r\n\r\n"
  sleep 0.3
done
send 27586 "GET /read/x HTTP/1.1\r\nRequest-Id: no-key\r\nHost: rota.example\r\nConnection: close\r\n\r\n"
send 27586 "GET /none HTTP/1.1\r\nRequest-Id: no-route\r\n$head\r\n"
kill "$recorder" 2>/dev/null || true
wait "$recorder" || true
kill "$peer" "$platform" 2>/dev/null || true
wait "$peer" "$platform" 2>/dev/null || true
