package org.corianderweir.http;

import java.time.Duration;

/**
 * How a client uses its connections.
 *
 * @param name name of the client, used for its threads
 * @param connectTimeout longest time to open a connection
 * @param idleLifetime idle connections older than this are closed instead of used
 * @param answerLimitBytes largest body that is accepted
 * @param connectionsPerAddress connections to one address at the same time, opening ones too
 */
public record HttpClientOptions(
    String name,
    Duration connectTimeout,
    Duration idleLifetime,
    int answerLimitBytes,
    int connectionsPerAddress) {
  private static final int DEFAULT_CONNECTIONS_PER_ADDRESS = 256;

  /** Creates options with the default number of connections. */
  public HttpClientOptions(
      String name, Duration connectTimeout, Duration idleLifetime, int answerLimitBytes) {
    this(name, connectTimeout, idleLifetime, answerLimitBytes, DEFAULT_CONNECTIONS_PER_ADDRESS);
  }
}
