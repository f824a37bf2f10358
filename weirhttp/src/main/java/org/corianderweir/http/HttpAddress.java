package org.corianderweir.http;

/**
 * A server's address.
 *
 * @param host IP address
 * @param port TCP port
 */
public record HttpAddress(String host, int port) {
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
