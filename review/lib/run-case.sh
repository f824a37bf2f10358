# Runs a case; sourced by run.sh of each case with the class name in CASE_CLASS.
set -uo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$case_folder/../.."
. config/find-jdk.sh
if [ ! -f "target/review/$CASE_CLASS.class" ] || [ ! -f target/corianderweird.jar ]; then
  echo "first run the build of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
"$JAVA_HOME/bin/java" -Xmx512m -cp target/review "$CASE_CLASS" "$case_folder/record.txt" &
runner=$!
trap 'kill "$runner" 2>/dev/null' INT TERM
wait "$runner"
exit $?
