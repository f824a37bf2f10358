package org.corianderweir.http;

import org.jspecify.annotations.Nullable;

/**
 * The address of a server.
 *
 * @param host IP address
 * @param port TCP port
 */
public record HttpAddress(String host, int port) {
  // Written out: the generated method is linked by method handles at its first call, during the
  // start of the process, and no class archive holds them.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof HttpAddress that && port == that.port && host.equals(that.host);
  }

  @Override
  public int hashCode() {
    return host.hashCode() * 31 + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
