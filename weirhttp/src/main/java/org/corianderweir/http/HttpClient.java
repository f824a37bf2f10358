package org.corianderweir.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.corianderweir.kernel.GuardedTask;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP client with pooled connections. A connection is used for one exchange at a time and is
 * reused only after a complete response. An exchange that times out, fails or is cancelled closes
 * its connection, so that a response can't reach another caller. A response that names a different
 * request is refused.
 */
public final class HttpClient {
  private static final Duration UNLIMITED = Duration.ofNanos(Long.MAX_VALUE);

  /** Header field in which a server may name the request that it responds to. */
  public static final String REQUEST_IDENTIFIER_HEADER = "Weir-Request";

  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);
  private static final Logger LOGGER = Logger.getLogger(HttpClient.class);

  private final HttpClientOptions options;
  private final TCPNIOTransport transport;
  private final ExchangeFilter exchangeFilter;
  private final ScheduledThreadPoolExecutor timer;
  private final Map<HttpAddress, ConnectionPool> pools = new ConcurrentHashMap<>();

  /** Creates a client without starting it. */
  public HttpClient(HttpClientOptions options) {
    this.options = options;
    exchangeFilter = new ExchangeFilter(options, this::release);
    transport = TCPNIOTransportBuilder.newInstance().setTcpNoDelay(true).build();
    // The filters never block, so no worker threads are needed.
    transport.setIOStrategy(SameThreadIOStrategy.getInstance());
    transport.setSelectorRunnersCount(1);
    TransportMemory.configure(transport);
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new ResponseReadFilter(options.memory(), ExchangeFilter::hasBody))
            .add(exchangeFilter)
            .build());
    timer = new ScheduledThreadPoolExecutor(1, this::timerThread);
    timer.setRemoveOnCancelPolicy(true);
  }

  /** Starts the client's threads. */
  public void start() {
    try {
      transport.start();
      timer.scheduleWithFixedDelay(
          new GuardedTask(
              this::closeExpiredConnections,
              failure ->
                  LOGGER.warnf(failure, "can't close idle connections of %s", options.name())),
          SWEEP_PERIOD.toNanos(),
          SWEEP_PERIOD.toNanos(),
          TimeUnit.NANOSECONDS);
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.CONNECT_FAILED, "can't start the client", failure);
    }
  }

  /** Closes all connections; exchanges in progress fail. */
  public void stop() {
    timer.shutdownNow();
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.CONNECT_FAILED, "can't stop the client", failure);
    }
  }

  /**
   * Sends a request and reads the complete response.
   *
   * <p>The future fails with a {@link WeirException}: with code {@code CONNECT_FAILED} if no byte
   * of the request was sent or will be sent, with {@code ANSWER_LOST} or {@code DEADLINE_EXCEEDED}
   * if the request may have run. Cancelling the future closes the connection.
   */
  public CompletableFuture<HttpResponse> exchange(
      HttpAddress address, HttpRequest request, Duration timeout) {
    return exchange(address, request, timeout, () -> true);
  }

  /**
   * Sends a request as {@link #exchange(HttpAddress, HttpRequest, Duration)} does, but reuses a
   * connection only if it has been idle for less than the given limit. The server is then less
   * likely to have closed the connection.
   */
  public CompletableFuture<HttpResponse> exchange(
      HttpAddress address, HttpRequest request, Duration timeout, Duration idleLimit) {
    return exchange(address, request, timeout, idleLimit, () -> true);
  }

  /** Sends a request that must be wanted when it is written, over any idle connection. */
  public CompletableFuture<HttpResponse> exchange(
      HttpAddress address, HttpRequest request, Duration timeout, BooleanSupplier stillWanted) {
    return exchange(address, request, timeout, UNLIMITED, stillWanted);
  }

  /**
   * Sends a request as {@link #exchange(HttpAddress, HttpRequest, Duration, Duration)} does, but
   * only if it is still wanted. Opening a connection can take so long that it is not.
   *
   * @param stillWanted asked immediately before the request is written; if it returns false, no
   *     byte is written and the future is cancelled
   */
  public CompletableFuture<HttpResponse> exchange(
      HttpAddress address,
      HttpRequest request,
      Duration timeout,
      Duration idleLimit,
      BooleanSupplier stillWanted) {
    HttpExchange exchange = new HttpExchange(address, request, stillWanted);
    exchange.setDeadlineTask(
        timer.schedule(() -> expire(exchange), timeout.toNanos(), TimeUnit.NANOSECONDS));
    ConnectionPool pool = pool(address);
    Optional<String> identifier = exchange.requestHeader(options.identifierHeader());
    Optional<Connection<?>> reusable =
        pool.takeIdle(
            idleLimit,
            System.nanoTime(),
            connection -> EarlierFailures.allow(connection, identifier));
    if (reusable.isPresent()) {
      send(exchange, reusable.get());
    } else if (pool.reserve()) {
      connect(exchange, pool);
    } else {
      exchange.failUnsent("all connections are in use", new ConnectException());
    }
    if (options.preconnect()) {
      preconnect(address);
    }
    return exchange.response();
  }

  /** Opens a connection in advance unless the pool has an idle one. */
  public void preconnect(HttpAddress address) {
    ConnectionPool pool = pool(address);
    if (pool.shouldPreconnect() && pool.reserve()) {
      open(
          address,
          pool,
          new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
              pool.release(connection, options.idleTimeout(), System.nanoTime());
            }
          });
    }
  }

  /** Returns the number of connections to an address, including those being opened. */
  public int connectionCount(HttpAddress address) {
    return pool(address).reservedCount();
  }

  private Thread timerThread(Runnable task) {
    Thread thread = new Thread(task, options.name() + "-timer");
    thread.setDaemon(true);
    return thread;
  }

  private ConnectionPool pool(HttpAddress address) {
    return pools.computeIfAbsent(
        address, unused -> new ConnectionPool(options.connectionsPerAddress()));
  }

  private void release(HttpAddress address, Connection<?> connection, HttpResponse response) {
    Duration lifetime =
        KeepAliveField.idleLifetime(response.headers()).orElse(options.idleTimeout());
    pool(address).release(connection, lifetime, System.nanoTime());
  }

  private void closeExpiredConnections() {
    pools.values().forEach(pool -> pool.closeExpired(System.nanoTime()));
  }

  private static void expire(HttpExchange exchange) {
    exchange.fail(
        ErrorCode.DEADLINE_EXCEEDED,
        "no response before the timeout",
        new SocketTimeoutException());
  }

  private void connect(HttpExchange exchange, ConnectionPool pool) {
    var timeout =
        timer.schedule(
            () ->
                exchange.failUnsent(
                    "the connection was not established before the timeout",
                    new SocketTimeoutException()),
            options.connectTimeout().toNanos(),
            TimeUnit.NANOSECONDS);
    open(
        exchange.address(),
        pool,
        new EmptyCompletionHandler<Connection>() {
          @Override
          public void completed(Connection connection) {
            timeout.cancel(false);
            send(exchange, connection);
          }

          @Override
          public void failed(Throwable failure) {
            timeout.cancel(false);
            exchange.failUnsent("can't connect", failure);
          }
        });
  }

  /** Opens a connection for a reservation, which is released when the connection closes. */
  @SuppressWarnings("rawtypes")
  private void open(
      HttpAddress address, ConnectionPool pool, EmptyCompletionHandler<Connection> handler) {
    try {
      transport.connect(
          new InetSocketAddress(address.host(), address.port()),
          localAddress(),
          new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
              connection.addCloseListener((closeable, type) -> pool.releaseReservation());
              handler.completed(connection);
            }

            @Override
            public void failed(Throwable failure) {
              pool.releaseReservation();
              handler.failed(failure);
            }
          });
    } catch (RuntimeException failure) {
      pool.releaseReservation();
      handler.failed(failure);
    }
  }

  private @Nullable SocketAddress localAddress() {
    return options.localHost().map(host -> new InetSocketAddress(host, 0)).orElse(null);
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  private void send(HttpExchange exchange, Connection connection) {
    if (!exchange.isStillWanted()) {
      exchange.response().cancel(false);
      connection.closeSilently();
      return;
    }
    Buffer bytes;
    try {
      bytes = RequestEncoder.encode(exchange.request(), exchange.address().toString());
    } catch (RuntimeException failure) {
      exchange.failUnsent("the request can't be written", failure);
      connection.closeSilently();
      return;
    }
    if (!exchange.beginSend(connection)) {
      connection.closeSilently();
      return;
    }
    exchangeFilter.begin(connection, exchange);
    connection.write(
        bytes,
        new EmptyCompletionHandler<Object>() {
          @Override
          public void failed(Throwable failure) {
            exchange.fail(ErrorCode.ANSWER_LOST, "the request could not be written", failure);
          }
        });
  }
}
