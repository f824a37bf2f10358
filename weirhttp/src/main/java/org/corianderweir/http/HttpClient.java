package org.corianderweir.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP client with pooled connections. A connection is used for one exchange at a time and only
 * reused after a whole answer; a late, broken or cancelled exchange closes it, so that no answer
 * can reach another caller.
 */
public final class HttpClient {
  private static final int WORKER_THREADS = 2;

  private final HttpClientOptions options;
  private final TCPNIOTransport transport;
  private final ScheduledThreadPoolExecutor timer;
  private final Map<HttpAddress, ConcurrentLinkedDeque<IdleConnection>> idle =
      new ConcurrentHashMap<>();

  private record IdleConnection(Connection<?> connection, long sinceNanoseconds) {}

  /** Creates a client that is not started yet. */
  public HttpClient(HttpClientOptions options) {
    this.options = options;
    transport = TCPNIOTransportBuilder.newInstance().setTcpNoDelay(true).build();
    transport.setWorkerThreadPoolConfig(
        ThreadPoolConfig.defaultConfig()
            .setPoolName(options.name())
            .setDaemon(true)
            .setCorePoolSize(WORKER_THREADS)
            .setMaxPoolSize(WORKER_THREADS));
    transport.setSelectorRunnersCount(1);
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new HttpClientFilter())
            .add(new ExchangeFilter(options.answerLimitBytes()))
            .build());
    timer =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, options.name() + "-timer");
              thread.setDaemon(true);
              return thread;
            });
    timer.setRemoveOnCancelPolicy(true);
  }

  /** Starts the client's threads. */
  public void start() {
    try {
      transport.start();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.CONNECT_FAILED, "can't start the client", failure);
    }
  }

  /** Closes all connections; exchanges that are underway fail. */
  public void stop() {
    timer.shutdownNow();
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.CONNECT_FAILED, "can't stop the client", failure);
    }
  }

  /**
   * Sends a request and reads the whole answer.
   *
   * <p>The future fails with a {@link WeirException}: {@code CONNECT_FAILED} if no byte was sent;
   * {@code ANSWER_LOST} or {@code DEADLINE_EXCEEDED} if the request may have run. To cancel the
   * future closes the connection.
   */
  public CompletableFuture<HttpReply> exchange(
      HttpAddress address, HttpCall call, Duration timeout) {
    Exchange exchange = new Exchange(address, call);
    exchange.deadline =
        Optional.of(timer.schedule(exchange::expire, timeout.toNanos(), TimeUnit.NANOSECONDS));
    Optional<Connection<?>> reusable = takeIdle(address);
    if (reusable.isPresent()) {
      exchange.send(reusable.get());
    } else {
      connect(exchange);
    }
    return exchange.reply;
  }

  private Optional<Connection<?>> takeIdle(HttpAddress address) {
    ConcurrentLinkedDeque<IdleConnection> connections = idle.get(address);
    if (connections == null) {
      return Optional.empty();
    }
    IdleConnection candidate = connections.pollLast();
    while (candidate != null) {
      long age = System.nanoTime() - candidate.sinceNanoseconds();
      if (candidate.connection().isOpen() && age < options.idleLifetime().toNanos()) {
        return Optional.of(candidate.connection());
      }
      candidate.connection().closeSilently();
      candidate = connections.pollLast();
    }
    return Optional.empty();
  }

  private void release(HttpAddress address, Connection<?> connection) {
    idle.computeIfAbsent(address, unused -> new ConcurrentLinkedDeque<>())
        .addLast(new IdleConnection(connection, System.nanoTime()));
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  private void connect(Exchange exchange) {
    timer.schedule(
        exchange::expireConnect, options.connectTimeout().toNanos(), TimeUnit.NANOSECONDS);
    try {
      transport.connect(
          new InetSocketAddress(exchange.address.host(), exchange.address.port()),
          localAddress(),
          new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
              exchange.send(connection);
            }

            @Override
            public void failed(Throwable failure) {
              exchange.fail(ErrorCode.CONNECT_FAILED, "can't connect", failure);
            }
          });
    } catch (RuntimeException failure) {
      exchange.fail(ErrorCode.CONNECT_FAILED, "can't connect", failure);
    }
  }

  private @Nullable SocketAddress localAddress() {
    return options.localHost().map(host -> new InetSocketAddress(host, 0)).orElse(null);
  }

  /** One request and its answer. */
  final class Exchange {
    private final HttpAddress address;
    private final HttpCall call;
    private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    private Optional<ScheduledFuture<?>> deadline = Optional.empty();
    private Optional<Connection<?>> connection = Optional.empty();
    private boolean abandoned;

    Exchange(HttpAddress address, HttpCall call) {
      this.address = address;
      this.call = call;
      reply.whenComplete((answer, failure) -> finish(failure != null));
    }

    synchronized void send(Connection<?> opened) {
      if (abandoned || reply.isDone()) {
        opened.closeSilently();
        return;
      }
      connection = Optional.of(opened);
      ExchangeFilter.begin(opened, this);
      write(opened);
    }

    @SuppressWarnings({"rawtypes", "unchecked"})
    private void write(Connection raw) {
      raw.write(
          packet(),
          new EmptyCompletionHandler<Object>() {
            @Override
            public void failed(Throwable failure) {
              fail(ErrorCode.ANSWER_LOST, "the request could not be written", failure);
            }
          });
    }

    boolean hasNoBodyByMethod() {
      return call.method().equals("HEAD");
    }

    void complete(HttpReply answer, boolean reusable) {
      synchronized (this) {
        Optional<Connection<?>> used = connection;
        connection = Optional.empty();
        if (used.isPresent() && reusable && !reply.isDone()) {
          release(address, used.get());
        } else {
          used.ifPresent(Connection::closeSilently);
        }
      }
      reply.complete(answer);
    }

    void fail(ErrorCode code, String message, Throwable cause) {
      reply.completeExceptionally(new WeirException(code, message + ": " + address, cause));
    }

    private void expire() {
      ErrorCode code = abandonUnsent() ? ErrorCode.CONNECT_FAILED : ErrorCode.DEADLINE_EXCEEDED;
      reply.completeExceptionally(new WeirException(code, "no answer in time: " + address));
    }

    private void expireConnect() {
      if (abandonUnsent()) {
        reply.completeExceptionally(
            new WeirException(ErrorCode.CONNECT_FAILED, "no connection in time: " + address));
      }
    }

    /** Makes sure that a request that was not sent yet never will be; returns whether it was so. */
    private synchronized boolean abandonUnsent() {
      abandoned |= connection.isEmpty();
      return abandoned;
    }

    private synchronized void finish(boolean failed) {
      deadline.ifPresent(task -> task.cancel(false));
      if (failed) {
        connection.ifPresent(Connection::closeSilently);
        connection = Optional.empty();
      }
    }

    private HttpContent packet() {
      HttpRequestPacket.Builder builder =
          HttpRequestPacket.builder()
              .method(call.method())
              .uri(call.target())
              .protocol(Protocol.HTTP_1_1)
              .header("Host", address.toString())
              .contentLength(call.body().length);
      for (HttpHeader field : call.headers().fields()) {
        builder.header(field.name(), field.value());
      }
      Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, call.body());
      return builder.build().httpContentBuilder().content(content).last(true).build();
    }
  }
}
