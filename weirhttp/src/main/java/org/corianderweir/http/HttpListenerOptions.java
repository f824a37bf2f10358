package org.corianderweir.http;

import java.time.Duration;

/**
 * Where and how a server listens.
 *
 * @param name name of the interface, used for its threads
 * @param host IP address
 * @param port TCP port; zero lets the system choose
 * @param bodyLimitBytes largest body that is accepted
 * @param workerThreads threads that read requests and start answers
 * @param connectionLimit connections at the same time
 * @param connectionLimitPerAddress connections from one IP address at the same time
 * @param transferTimeout longest time for a caller to send a request or to take an answer
 */
public record HttpListenerOptions(
    String name,
    String host,
    int port,
    int bodyLimitBytes,
    int workerThreads,
    int connectionLimit,
    int connectionLimitPerAddress,
    Duration transferTimeout) {
  private static final int DEFAULT_CONNECTION_LIMIT = 4096;
  private static final int DEFAULT_CONNECTION_LIMIT_PER_ADDRESS = 2048;
  private static final Duration DEFAULT_TRANSFER_TIMEOUT = Duration.ofSeconds(15);

  /** Creates options with the default bounds. */
  public HttpListenerOptions(
      String name, String host, int port, int bodyLimitBytes, int workerThreads) {
    this(
        name,
        host,
        port,
        bodyLimitBytes,
        workerThreads,
        DEFAULT_CONNECTION_LIMIT,
        DEFAULT_CONNECTION_LIMIT_PER_ADDRESS,
        DEFAULT_TRANSFER_TIMEOUT);
  }

  /** Returns the same options with other bounds on what callers can hold. */
  public HttpListenerOptions withLimits(int connections, int perAddress, Duration transfer) {
    return new HttpListenerOptions(
        name, host, port, bodyLimitBytes, workerThreads, connections, perAddress, transfer);
  }
}
