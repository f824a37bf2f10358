package org.corianderweir.http;

import java.time.Duration;
import java.util.Optional;

/**
 * How a client uses its connections.
 *
 * @param name name of the client, used for its threads
 * @param connectTimeout longest time to open a connection
 * @param idleLifetime idle connections older than this are closed instead of used
 * @param answerLimitBytes largest body that is accepted
 * @param localHost IP address that connections start from; empty lets the system choose
 * @param connectionsPerAddress connections to one address at the same time, opening ones too
 */
public record HttpClientOptions(
    String name,
    Duration connectTimeout,
    Duration idleLifetime,
    int answerLimitBytes,
    Optional<String> localHost,
    int connectionsPerAddress) {
  private static final int DEFAULT_CONNECTIONS_PER_ADDRESS = 256;

  /** Creates options that let the system choose the local address. */
  public HttpClientOptions(
      String name, Duration connectTimeout, Duration idleLifetime, int answerLimitBytes) {
    this(
        name,
        connectTimeout,
        idleLifetime,
        answerLimitBytes,
        Optional.empty(),
        DEFAULT_CONNECTIONS_PER_ADDRESS);
  }

  /** Returns the same options with connections that start from the given IP address. */
  public HttpClientOptions from(String host) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleLifetime,
        answerLimitBytes,
        Optional.of(host),
        connectionsPerAddress);
  }

  /** Returns the same options with another bound on the connections to one address. */
  public HttpClientOptions withConnectionsPerAddress(int connections) {
    return new HttpClientOptions(
        name, connectTimeout, idleLifetime, answerLimitBytes, localHost, connections);
  }
}
