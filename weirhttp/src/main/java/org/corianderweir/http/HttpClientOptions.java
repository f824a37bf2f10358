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
 */
public record HttpClientOptions(
    String name,
    Duration connectTimeout,
    Duration idleLifetime,
    int answerLimitBytes,
    Optional<String> localHost) {

  /** Creates options that let the system choose the local address. */
  public HttpClientOptions(
      String name, Duration connectTimeout, Duration idleLifetime, int answerLimitBytes) {
    this(name, connectTimeout, idleLifetime, answerLimitBytes, Optional.empty());
  }

  /** Returns the same options with connections that start from the given IP address. */
  public HttpClientOptions from(String host) {
    return new HttpClientOptions(
        name, connectTimeout, idleLifetime, answerLimitBytes, Optional.of(host));
  }
}
