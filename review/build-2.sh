#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the cases 6 to 10 into target/review-2.
# Run after the build of the deploy file; needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/find-jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/lib-2/*.java
