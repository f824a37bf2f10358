package org.corianderweir.http;

import java.time.Duration;
import java.util.Optional;

/**
 * How a client uses its connections.
 *
 * @param name name of the client, used for its threads
 * @param connectTimeout longest time to open a connection
 * @param idleTimeout idle connections older than this are closed instead of used
 * @param responseLimitBytes largest body that is accepted
 * @param localHost IP address that connections start from; empty lets the system choose
 * @param connectionsPerAddress connections to one address at the same time, opening ones too
 * @param preconnect whether a connection is opened when the last idle one is taken
 * @param echoHeader field in which servers must repeat the value of the request; empty asks for
 *     none
 */
public record HttpClientOptions(
    String name,
    Duration connectTimeout,
    Duration idleTimeout,
    int responseLimitBytes,
    Optional<String> localHost,
    int connectionsPerAddress,
    boolean preconnect,
    Optional<String> echoHeader) {
  private static final int DEFAULT_CONNECTIONS_PER_ADDRESS = 256;

  /** Creates options that let the system choose the local address. */
  public HttpClientOptions(
      String name, Duration connectTimeout, Duration idleTimeout, int responseLimitBytes) {
    this(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        Optional.empty(),
        DEFAULT_CONNECTIONS_PER_ADDRESS,
        false,
        Optional.empty());
  }

  /** Returns the same options with connections that start from the given IP address. */
  public HttpClientOptions withLocalHost(String host) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        Optional.of(host),
        connectionsPerAddress,
        preconnect,
        echoHeader);
  }

  /** Returns the same options with another bound on the connections to one address. */
  public HttpClientOptions withConnectionsPerAddress(int connections) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        localHost,
        connections,
        preconnect,
        echoHeader);
  }

  /**
   * Returns the same options with a connection opened ahead whenever the last idle one is taken.
   */
  public HttpClientOptions withPreconnect() {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        localHost,
        connectionsPerAddress,
        true,
        echoHeader);
  }

  /** Returns the same options for servers that repeat the value of a field in each answer. */
  public HttpClientOptions withEchoHeader(String header) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        localHost,
        connectionsPerAddress,
        preconnect,
        Optional.of(header));
  }
}
