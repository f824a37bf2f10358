package org.corianderweir.http;

/**
 * The address of a server.
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
