#!/usr/bin/env bash
# Builds the daemon and a runtime image for it under target/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-jdk.sh
mvn -q -B -T4 -DskipTests -pl weirdaemon -am package
cp target/weirdaemon/weirdaemon-0.1.0-SNAPSHOT-all.jar target/corianderweird.jar
rm -rf target/runtime
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,java.xml,java.desktop,jdk.unsupported \
  --strip-debug --no-header-files --no-man-pages --output target/runtime
target/runtime/bin/java -Xshare:dump -XX:+UseSerialGC >/dev/null
