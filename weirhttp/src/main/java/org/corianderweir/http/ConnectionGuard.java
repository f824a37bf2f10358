package org.corianderweir.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.kernel.GuardedTask;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Limits the resources that callers can occupy: the number of connections in total and from one
 * address, the time to send a complete request, and the time to read a response. A connection that
 * exceeds a limit is closed; other connections are not affected.
 */
final class ConnectionGuard extends BaseFilter {
  private static final Attribute<ConnectionActivity> ACTIVITY =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.activity");
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Time for a caller to close its side after a response that ends the connection. */
  private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

  private static final long SWEEP_PERIOD_MILLISECONDS = 500;
  private static final Logger LOGGER = Logger.getLogger(ConnectionGuard.class);

  private final int connectionLimit;
  private final int connectionLimitPerAddress;
  private final Duration transferTimeout;
  private final Map<Connection<?>, InetAddress> connections = new ConcurrentHashMap<>();
  private final Map<InetAddress, Integer> countByAddress = new ConcurrentHashMap<>();
  private final Map<Connection<?>, Long> writingSince = new HashMap<>();
  private final AtomicBoolean sweepScheduled = new AtomicBoolean();
  private final Runnable sweepTask =
      new GuardedTask(
          () -> closeOverdueConnections(System.nanoTime()),
          failure -> LOGGER.warnf(failure, "can't close the connections of slow callers"));
  private final ScheduledThreadPoolExecutor sweeper;
  private final UnfinishedRequests unfinished;

  /**
   * Creates a guard.
   *
   * @param transferTimeout longest time to send a request or to read a response
   */
  ConnectionGuard(
      String name,
      int connectionLimit,
      int connectionLimitPerAddress,
      Duration transferTimeout,
      UnfinishedRequests unfinished) {
    this.connectionLimit = connectionLimit;
    this.connectionLimitPerAddress = connectionLimitPerAddress;
    this.transferTimeout = transferTimeout;
    this.unfinished = unfinished;
    sweeper =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, name + "-guard");
              thread.setDaemon(true);
              return thread;
            });
  }

  void stop() {
    sweeper.shutdownNow();
  }

  /**
   * Schedules a sweep unless one is scheduled. Without connections and closures to log there are no
   * sweeps: most listeners of an instance have no connection most of the time.
   */
  private void scheduleSweep() {
    if (sweepScheduled.compareAndSet(false, true)) {
      try {
        sweeper.schedule(this::sweep, SWEEP_PERIOD_MILLISECONDS, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException stopped) {
        LOGGER.debugf(stopped, "no sweep after the stop");
      }
    }
  }

  private void sweep() {
    sweepTask.run();
    sweepScheduled.set(false);
    if (!connections.isEmpty() || unfinished.hasClosuresToLog()) {
      scheduleSweep();
    }
  }

  /** Records that bytes of a request are parsed, which begins its time limit. */
  static void onBytesReceived(Connection<?> connection) {
    ACTIVITY.get(connection).onBytesReceived(System.nanoTime());
  }

  /** Ends the time limit for sending a request, because the request was read completely. */
  static void onRequestRead(Connection<?> connection) {
    ACTIVITY.get(connection).onRequestRead();
  }

  /** Records that the response to the latest request was passed on to be sent. */
  static void onResponseWritten(Connection<?> connection) {
    ACTIVITY.get(connection).onResponseWritten(System.nanoTime());
  }

  /**
   * Closes the connections on which no request is in progress or waits to be read, no response is
   * being sent, and nothing has happened for a time.
   *
   * @return whether other connections are open
   */
  boolean closeIdleConnections(Duration quietTime, long nowNanoseconds) {
    boolean othersOpen = false;
    for (Connection<?> connection : connections.keySet()) {
      ConnectionActivity activity = ACTIVITY.get(connection);
      boolean idle = activity.isIdle() && !isSending(connection);
      if (idle
          && activity.quietTime(nowNanoseconds).compareTo(quietTime) >= 0
          && !hasUnreadBytes(connection)) {
        connection.closeSilently();
      } else {
        othersOpen = true;
      }
    }
    return othersOpen;
  }

  /** Gives each request that was read and has no response its final one. */
  void endRequests() {
    connections.keySet().forEach(connection -> CallerPipeline.of(connection).endRequests());
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    InetAddress address = ((InetSocketAddress) connection.getPeerAddress()).getAddress();
    int fromAddress = countByAddress.merge(address, 1, Integer::sum);
    ACTIVITY.set(connection, new ConnectionActivity(System.nanoTime()));
    connections.put(connection, address);
    scheduleSweep();
    connection.addCloseListener((closeable, type) -> removeConnection(connection));
    boolean tooManyFromAddress = fromAddress > connectionLimitPerAddress;
    if ((tooManyFromAddress || connections.size() > connectionLimit)
        && !closeLongestIdle(connection, tooManyFromAddress ? address : null)
        && !unfinished.closeOldest(ClosureCause.TOO_MANY_CONNECTIONS)) {
      unfinished.count(ClosureCause.TOO_MANY_CONNECTIONS);
      connection.closeSilently();
      return context.getStopAction();
    }
    return context.getInvokeAction();
  }

  /**
   * Closes the connection that has been idle for longest, so that idle connections don't keep new
   * callers out; returns false if there is none.
   */
  private boolean closeLongestIdle(Connection<?> accepted, @Nullable InetAddress fromAddress) {
    long nowNanoseconds = System.nanoTime();
    Connection<?> longestIdle = null;
    Duration longest = Duration.ZERO;
    for (Map.Entry<Connection<?>, InetAddress> entry : connections.entrySet()) {
      Connection<?> connection = entry.getKey();
      ConnectionActivity activity = ACTIVITY.get(connection);
      boolean idle = connection != accepted && activity.isIdle() && !isSending(connection);
      if (idle
          && (fromAddress == null || fromAddress.equals(entry.getValue()))
          && activity.quietTime(nowNanoseconds).compareTo(longest) > 0) {
        longestIdle = connection;
        longest = activity.quietTime(nowNanoseconds);
      }
    }
    if (longestIdle == null) {
      return false;
    }
    unfinished.count(ClosureCause.IDLE);
    removeConnection(longestIdle);
    longestIdle.closeSilently();
    return true;
  }

  private void removeConnection(Connection<?> connection) {
    InetAddress address = connections.remove(connection);
    if (address != null) {
      countByAddress.computeIfPresent(
          address, (unused, count) -> count > 1 ? Integer.valueOf(count - 1) : null);
    }
  }

  /**
   * Closes idle connections, and terminates those that exceed the transfer timeout. A graceful
   * close would wait for a caller that does not read.
   */
  private void closeOverdueConnections(long nowNanoseconds) {
    for (Connection<?> connection : connections.keySet()) {
      ConnectionActivity activity = ACTIVITY.get(connection);
      CallerPipeline pipeline = CallerPipeline.of(connection);
      boolean sending = isSending(connection);
      if (!sending
          && (activity.isIdleLongerThan(IDLE_TIMEOUT, nowNanoseconds)
              || pipeline.isLingeringLongerThan(LINGER_TIMEOUT, nowNanoseconds))) {
        connection.closeSilently();
      } else if (isOverdue(writeStartNanoseconds(connection), nowNanoseconds)
          || (activity.isReadingLongerThan(transferTimeout, nowNanoseconds)
              && !pipeline.endReading())) {
        unfinished.count(ClosureCause.TRANSFER_TIMEOUT);
        connection.terminateSilently();
      }
    }
    writingSince.keySet().retainAll(connections.keySet());
    unfinished.sweep(nowNanoseconds);
  }

  private boolean isOverdue(@Nullable Long startNanoseconds, long nowNanoseconds) {
    return startNanoseconds != null
        && nowNanoseconds - startNanoseconds > transferTimeout.toNanos();
  }

  /**
   * Returns the monotonic time since which bytes of a response have waited for the caller to read
   * them, or null if none wait. A sweep that finds bytes waiting for the first time starts the
   * time, and each response that is passed on starts it again.
   */
  private @Nullable Long writeStartNanoseconds(Connection<?> connection) {
    if (!isSending(connection)) {
      writingSince.remove(connection);
      return null;
    }
    long latestResponse = ACTIVITY.get(connection).latestResponseNanoseconds();
    return writingSince.merge(
        connection,
        System.nanoTime(),
        (since, unused) -> since - latestResponse < 0 ? latestResponse : since);
  }

  /** Returns whether bytes of a response wait in the process for the caller to read. */
  private static boolean isSending(Connection<?> connection) {
    return !((NIOConnection) connection).getAsyncWriteQueue().isEmpty();
  }

  /**
   * Returns whether bytes of the caller wait in the kernel. The selector thread may read them late
   * on a busy processor, and a close before that resets the connection.
   */
  private static boolean hasUnreadBytes(Connection<?> connection) {
    SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
    try {
      return channel.socket().getInputStream().available() > 0;
    } catch (IOException closed) {
      return false;
    }
  }
}
