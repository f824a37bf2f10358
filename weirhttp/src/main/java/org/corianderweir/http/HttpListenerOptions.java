package org.corianderweir.http;

import java.time.Duration;

/**
 * The address and the limits of a server.
 *
 * @param name name of the interface, used for its threads
 * @param host IP address
 * @param port TCP port; zero lets the system choose one
 * @param bodyLimitBytes largest request body that is accepted
 * @param workerThreads number of threads that read requests and call the request handler
 * @param connectionLimit largest number of open connections
 * @param connectionLimitPerAddress largest number of open connections from one IP address
 * @param transferTimeout longest time in which a caller must send a request or read a response
 * @param memory memory of the request bodies
 * @param unfinished limits on requests that callers have begun and not finished
 */
public record HttpListenerOptions(
    String name,
    String host,
    int port,
    int bodyLimitBytes,
    int workerThreads,
    int connectionLimit,
    int connectionLimitPerAddress,
    Duration transferTimeout,
    BodyMemory memory,
    UnfinishedLimits unfinished) {
  /** Request bodies of the largest size that are held in memory at the same time. */
  private static final int LARGEST_BODY_COUNT = 2;

  private static final long SMALL_BODIES_BYTES = 16L * 1024 * 1024;
  private static final int DEFAULT_CONNECTION_LIMIT = 4096;
  private static final int DEFAULT_CONNECTION_LIMIT_PER_ADDRESS = 2048;
  private static final Duration DEFAULT_TRANSFER_TIMEOUT = Duration.ofSeconds(15);

  /** Creates options with the default limits. */
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
        DEFAULT_TRANSFER_TIMEOUT,
        new BodyMemory(SMALL_BODIES_BYTES, (long) LARGEST_BODY_COUNT * bodyLimitBytes),
        UnfinishedLimits.DEFAULT);
  }

  /** Returns the same options with other limits on connections and transfers. */
  public HttpListenerOptions withLimits(int connections, int perAddress, Duration transfer) {
    return new HttpListenerOptions(
        name,
        host,
        port,
        bodyLimitBytes,
        workerThreads,
        connections,
        perAddress,
        transfer,
        memory,
        unfinished);
  }

  /** Returns the same options with the given memory of the request bodies. */
  public HttpListenerOptions withMemory(BodyMemory bodyMemory) {
    return new HttpListenerOptions(
        name,
        host,
        port,
        bodyLimitBytes,
        workerThreads,
        connectionLimit,
        connectionLimitPerAddress,
        transferTimeout,
        bodyMemory,
        unfinished);
  }

  /** Returns the same options with other limits on unfinished requests. */
  public HttpListenerOptions withUnfinished(UnfinishedLimits limits) {
    return new HttpListenerOptions(
        name,
        host,
        port,
        bodyLimitBytes,
        workerThreads,
        connectionLimit,
        connectionLimitPerAddress,
        transferTimeout,
        memory,
        limits);
  }
}
