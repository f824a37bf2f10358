# Sets JAVA_HOME to a JDK of version 21 or later, or says what is missing. Sourced by scripts.
minimum_version=21
java_major() {
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}
usable() {
  [ -x "$1/bin/javac" ] || return 1
  major=$(java_major "$1")
  [ -n "$major" ] && [ "$major" -ge "$minimum_version" ]
}
find_jdk() {
  if [ -n "${JAVA_HOME:-}" ] && usable "$JAVA_HOME"; then
    return 0
  fi
  for candidate in /usr/lib/jvm/*; do
    if usable "$candidate"; then
      JAVA_HOME=$candidate
      return 0
    fi
  done
  echo "No JDK of version $minimum_version or later: set JAVA_HOME to one." >&2
  return 1
}
find_jdk || exit 3
export JAVA_HOME
