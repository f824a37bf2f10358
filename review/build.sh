#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review. Needs the JDK that builds the project.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/lib/*.java
