package org.corianderweir.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.glassfish.grizzly.utils.DelayedExecutor;
import org.glassfish.grizzly.utils.IdleTimeoutFilter;
import org.jboss.logging.Logger;

/** An HTTP server on one address that passes complete requests to a request handler. */
public final class HttpListener {
  private static final int IDLE_TIMEOUT_SECONDS = 60;
  private static final int HEADER_LIMIT_BYTES = 16 * 1024;
  private static final long STOP_POLL_INTERVAL_MILLISECONDS = 5;
  private static final Logger LOGGER = Logger.getLogger(HttpListener.class);

  private final HttpServer server;
  private final ConnectionGuard guard;
  private final UnfinishedRequests unfinished;
  private final NetworkListener listener;

  /** Creates a server without starting it. */
  public HttpListener(HttpListenerOptions options, HttpRequestHandler requestHandler) {
    this(options, (request, caller) -> requestHandler.handle(request));
  }

  /** Creates a server without starting it, whose handler can ask for the caller's connection. */
  public HttpListener(HttpListenerOptions options, CallerRequestHandler requestHandler) {
    server = new HttpServer();
    unfinished = new UnfinishedRequests(options);
    guard =
        new ConnectionGuard(
            options.name(),
            options.connectionLimit(),
            options.connectionLimitPerAddress(),
            options.transferTimeout(),
            unfinished);
    listener = new NetworkListener(options.name(), options.host(), options.port());
    listener.getKeepAlive().setIdleTimeoutInSeconds(IDLE_TIMEOUT_SECONDS);
    listener.getKeepAlive().setMaxRequestsCount(-1);
    listener.setMaxHttpHeaderSize(HEADER_LIMIT_BYTES);
    listener
        .getTransport()
        .setWorkerThreadPoolConfig(
            ThreadPoolConfig.defaultConfig()
                .setPoolName(options.name())
                .setDaemon(true)
                .setCorePoolSize(options.workerThreads())
                .setMaxPoolSize(options.workerThreads()));
    listener.getTransport().setSelectorRunnersCount(1);
    TransportMemory.configure(listener.getTransport());
    listener.registerAddOn((unused, filters) -> setFilters(filters));
    listener
        .getTransport()
        .getAsyncQueueIO()
        .getWriter()
        .setMaxPendingBytesPerConnection(ResponseWriter.PENDING_LIMIT_BYTES);
    server.addListener(listener);
    server.getServerConfiguration().setName("corianderweir-" + options.name());
    server
        .getServerConfiguration()
        .addHttpHandler(new HttpRequestAdapter(requestHandler, options), "/");
  }

  private void setFilters(FilterChainBuilder filters) {
    int position = filters.indexOfType(HttpServerFilter.class);
    DelayedExecutor executor = IdleTimeoutFilter.createDefaultIdleDelayedExecutor();
    executor.start();
    filters.set(
        position, new StrictServerFilter(HEADER_LIMIT_BYTES, listener.getKeepAlive(), executor));
    int afterTransport = filters.indexOfType(TransportFilter.class) + 1;
    filters.add(afterTransport, new DisconnectDetectionFilter());
    filters.add(afterTransport + 1, guard);
    filters.add(
        filters.indexOfType(StrictServerFilter.class),
        new UnfinishedRequestFilter(unfinished, HEADER_LIMIT_BYTES));
  }

  /**
   * Starts listening.
   *
   * @throws WeirException with code {@code CONNECT_FAILED} if the address can't be bound
   */
  public void start() {
    try {
      server.start();
      guard.start();
    } catch (IOException failure) {
      throw new WeirException(
          ErrorCode.CONNECT_FAILED,
          "can't listen on " + listener.getHost() + ":" + listener.getPort(),
          failure);
    }
  }

  /** Returns the name of the interface. */
  public String name() {
    return listener.getName();
  }

  /** Sets the longest time in which a caller must send a head. */
  public void setHeadTimeout(Duration timeout) {
    unfinished.setHeadTimeout(timeout);
  }

  /** Returns how many connections were closed at a limit, for each cause. */
  public Map<ClosureCause, Long> closures() {
    return unfinished.closures();
  }

  /** Returns the bytes that are held of heads and chunk lines without an end. */
  public long unfinishedBytes() {
    return unfinished.heldBytes();
  }

  /** Returns the TCP port on which the server listens. */
  public int port() {
    return listener.getPort();
  }

  /** Stops as {@link #stop(Duration, Duration)} does, and closes idle connections at once. */
  public void stop(long graceMilliseconds) {
    stop(Duration.ZERO, Duration.ofMillis(graceMilliseconds));
  }

  /**
   * Stops accepting connections, and closes each open connection when it has no request in progress
   * and has been quiet for a time. A caller that uses its connection often then gets a response
   * with {@code Connection: close}, if the request handler sends it, before its connection ends.
   *
   * @param quietTime time without a request after which a connection is closed
   * @param grace time after which all connections are closed
   */
  public void stop(Duration quietTime, Duration grace) {
    // Grizzly's own shutdown closes connections that callers are still using.
    unbind();
    long startNanoseconds = System.nanoTime();
    while (guard.closeIdleConnections(quietTime, System.nanoTime())
        && System.nanoTime() - startNanoseconds < grace.toNanos()
        && pause()) {
      // The open connections become idle when their responses are written.
    }
    guard.closeIdleConnections(Duration.ZERO, System.nanoTime());
    guard.stop();
    server.shutdownNow();
  }

  private void unbind() {
    try {
      listener.getTransport().unbindAll();
    } catch (RuntimeException failure) {
      LOGGER.warnf(failure, "can't stop listening on %s:%d", listener.getHost(), port());
    }
  }

  /** Waits a short time; returns false if the thread is interrupted. */
  private static boolean pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL_MILLISECONDS);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
