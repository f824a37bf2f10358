package org.corianderweir.http;

import java.time.Duration;
import java.util.Optional;

/**
 * The options of a client and its connections.
 *
 * @param name name of the client, used for its threads
 * @param connectTimeout longest time to open a connection
 * @param idleTimeout time after which an idle connection is closed instead of reused
 * @param responseLimitBytes largest response body that is accepted
 * @param localHost local IP address of connections; empty lets the system choose one
 * @param connectionsPerAddress largest number of connections to one address, including those being
 *     opened
 * @param preconnect whether a connection is opened in advance when the last idle one is taken
 * @param echoHeader name of a header field whose value servers must repeat in the response; empty
 *     if no echo is required
 * @param memory memory of the response bodies
 */
public record HttpClientOptions(
    String name,
    Duration connectTimeout,
    Duration idleTimeout,
    int responseLimitBytes,
    Optional<String> localHost,
    int connectionsPerAddress,
    boolean preconnect,
    Optional<String> echoHeader,
    BodyMemory memory) {
  private static final int DEFAULT_CONNECTIONS_PER_ADDRESS = 256;

  /** Response bodies of the largest size that are held in memory at the same time. */
  private static final int LARGEST_BODY_COUNT = 2;

  private static final long SMALL_BODIES_BYTES = 16L * 1024 * 1024;

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
        Optional.empty(),
        new BodyMemory(SMALL_BODIES_BYTES, (long) LARGEST_BODY_COUNT * responseLimitBytes));
  }

  /** Returns the name of the header field in which a response names its request. */
  String identifierHeader() {
    return echoHeader.orElse(HttpClient.REQUEST_IDENTIFIER_HEADER);
  }

  /** Returns the same options with the given local IP address of connections. */
  public HttpClientOptions withLocalHost(String host) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        Optional.of(host),
        connectionsPerAddress,
        preconnect,
        echoHeader,
        memory);
  }

  /** Returns the same options with another limit on the connections to one address. */
  public HttpClientOptions withConnectionsPerAddress(int connections) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        localHost,
        connections,
        preconnect,
        echoHeader,
        memory);
  }

  /**
   * Returns the same options with a connection opened in advance when the last idle one is taken.
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
        echoHeader,
        memory);
  }

  /** Returns the same options for servers that repeat the value of a field in each response. */
  public HttpClientOptions withEchoHeader(String header) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        localHost,
        connectionsPerAddress,
        preconnect,
        Optional.of(header),
        memory);
  }

  /** Returns the same options with the given memory of the response bodies. */
  public HttpClientOptions withMemory(BodyMemory bodyMemory) {
    return new HttpClientOptions(
        name,
        connectTimeout,
        idleTimeout,
        responseLimitBytes,
        localHost,
        connectionsPerAddress,
        preconnect,
        echoHeader,
        bodyMemory);
  }
}
