package org.corianderweir.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** An HTTP server on one address that passes complete requests to a request handler. */
public final class HttpListener {
  private static final int HEADER_LIMIT_BYTES = 16 * 1024;
  private static final long STOP_POLL_INTERVAL_MILLISECONDS = 5;
  private static final Logger LOGGER = Logger.getLogger(HttpListener.class);

  private final HttpListenerOptions options;
  private final TCPNIOTransport transport;
  private final ConnectionGuard guard;
  private final UnfinishedRequests unfinished;
  private final RequestAccount account = new RequestAccount();
  private volatile int port;
  private volatile boolean stopping;
  private volatile @Nullable ListeningSocket socket;
  private volatile @Nullable SelectorThread selectorThread;

  /** Creates a server without starting it. */
  public HttpListener(HttpListenerOptions options, HttpRequestHandler requestHandler) {
    this(options, (request, caller) -> requestHandler.handle(request));
  }

  /** Creates a server without starting it, whose handler can ask for the caller's connection. */
  public HttpListener(HttpListenerOptions options, CallerRequestHandler requestHandler) {
    this.options = options;
    port = options.port();
    unfinished = new UnfinishedRequests(options);
    guard =
        new ConnectionGuard(
            options.name(),
            options.connectionLimit(),
            options.connectionLimitPerAddress(),
            options.transferTimeout(),
            unfinished);
    transport =
        TCPNIOTransportBuilder.newInstance()
            .setName(options.name())
            .setTcpNoDelay(true)
            .setSelectorRunnersCount(1)
            // Requests are read by the selector's thread and handled by the worker threads.
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setWorkerThreadPoolConfig(
                ThreadPoolConfig.defaultConfig()
                    .setPoolName(options.name())
                    .setDaemon(true)
                    .setCorePoolSize(options.workerThreads())
                    .setMaxPoolSize(options.workerThreads()))
            .build();
    TransportMemory.configure(transport);
    transport
        .getAsyncQueueIO()
        .getWriter()
        .setMaxPendingBytesPerConnection(ResponseWriter.PENDING_LIMIT_BYTES);
    ListenerContext context =
        new ListenerContext(
            requestHandler,
            options.bodyLimitBytes(),
            options.memory(),
            account,
            task -> transport.getWorkerThreadPool().execute(task),
            () -> stopping);
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new ReadAheadFilter(context))
            .add(guard)
            .add(new UnfinishedRequestFilter(unfinished, HEADER_LIMIT_BYTES))
            .add(new StrictServerFilter(HEADER_LIMIT_BYTES))
            .add(new RequestFilter())
            .build());
  }

  /**
   * Starts listening.
   *
   * @throws WeirException with code {@code CONNECT_FAILED} if the address can't be bound
   */
  public void start() {
    try {
      TCPNIOServerConnection bound = transport.bind(options.host(), options.port());
      port = ((InetSocketAddress) bound.getLocalAddress()).getPort();
      transport.start();
      selectorThread = new SelectorThread(transport, bound.getSelectorRunner());
      socket = new ListeningSocket(bound, transport);
    } catch (IOException failure) {
      throw new WeirException(
          ErrorCode.CONNECT_FAILED,
          "can't listen on " + options.host() + ":" + options.port(),
          failure);
    }
  }

  /** Returns the name of the interface. */
  public String name() {
    return options.name();
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

  /** Returns the number of requests that were read and have no complete response. */
  public int openRequestCount() {
    return account.openCount();
  }

  /** Returns the TCP port on which the server listens. */
  public int port() {
    return port;
  }

  /** Stops as {@link #stop(Duration, Duration)} does, and closes idle connections at once. */
  public void stop(long graceMilliseconds) {
    stop(Duration.ZERO, Duration.ofMillis(graceMilliseconds));
  }

  /**
   * Stops as {@link #stop(ListenerStop)} does, and closes all connections after the grace.
   *
   * @param quietTime time without a request after which a connection is closed
   * @param grace time after which all connections are closed
   */
  public void stop(Duration quietTime, Duration grace) {
    stop(ListenerStop.cuttingOff(quietTime, grace));
  }

  /**
   * Stops accepting connections, and closes each open connection when it has no request in progress
   * and has been quiet for a time. A caller that uses its connection gets a response with {@code
   * Connection: close} to the last request that was read, before its connection ends. Connections
   * that the kernel has accepted by then are served like open ones. After the grace, each request
   * that was read gets its final answer.
   */
  public void stop(ListenerStop plan) {
    long deadlineNanoseconds = System.nanoTime() + plan.grace().toNanos();
    stopping = true;
    try {
      // Grizzly's own shutdown closes connections that callers are still using.
      unbind(plan.grace());
      awaitIdleConnections(plan.quietTime(), deadlineNanoseconds);
      if (account.openCount() > 0 && !plan.sendTime().isZero()) {
        sendFinalAnswers(plan);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    guard.closeIdleConnections(Duration.ZERO, System.nanoTime());
    guard.stop();
    if (account.openCount() > 0) {
      LOGGER.infof("%s: %d requests are cut off by the stop", options.name(), account.openCount());
    }
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      LOGGER.warnf(failure, "can't close the connections to %s:%d", options.host(), port);
    }
  }

  /**
   * Sends the final answers of the requests in progress. What the handler has not answered in half
   * of the time is answered here.
   */
  private void sendFinalAnswers(ListenerStop plan) throws InterruptedException {
    long begunNanoseconds = System.nanoTime();
    long sendNanoseconds = plan.sendTime().toNanos();
    plan.endRequests().run();
    awaitIdleConnections(Duration.ZERO, begunNanoseconds + sendNanoseconds / 2);
    if (account.openCount() > 0) {
      guard.endRequests();
      awaitIdleConnections(Duration.ZERO, begunNanoseconds + sendNanoseconds);
    }
  }

  /** Closes connections as they become idle, until none is open or a time has passed. */
  private void awaitIdleConnections(Duration quietTime, long deadlineNanoseconds)
      throws InterruptedException {
    while (closeIdleConnections(quietTime, timeLeft(deadlineNanoseconds))
        && !timeLeft(deadlineNanoseconds).isZero()) {
      // The open connections become idle when their responses are written.
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL_MILLISECONDS);
    }
  }

  private void unbind(Duration limit) throws InterruptedException {
    ListeningSocket listening = socket;
    try {
      if (listening != null) {
        listening.close(limit);
      }
      transport.unbindAll();
    } catch (IOException | RuntimeException failure) {
      LOGGER.warnf(failure, "can't stop listening on %s:%d", options.host(), port);
    }
  }

  /**
   * Closes the connections that have been quiet for a time. Runs on the selector thread, since a
   * request that this thread has read but not yet recorded would be closed by another one.
   *
   * @return whether other connections are open; false if the limit has passed
   */
  private boolean closeIdleConnections(Duration quietTime, Duration limit)
      throws InterruptedException {
    SelectorThread thread = selectorThread;
    if (thread == null) {
      return false;
    }
    AtomicBoolean othersOpen = new AtomicBoolean();
    return thread.run(
            () -> othersOpen.set(guard.closeIdleConnections(quietTime, System.nanoTime())), limit)
        && othersOpen.get();
  }

  /** Returns the time until a monotonic time; zero if it has passed. */
  private static Duration timeLeft(long deadlineNanoseconds) {
    return Duration.ofNanos(Math.max(0, deadlineNanoseconds - System.nanoTime()));
  }
}
