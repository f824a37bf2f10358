package org.corianderweir.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import org.glassfish.grizzly.Connection;

/**
 * The connections of a client to one address. Each one that is open or being opened holds a place;
 * there are never more places than the limit. Thread-safe.
 */
final class ConnectionPool {
  private final int connectionLimit;
  private final Duration idleTimeout;
  private final ArrayDeque<IdleConnection> idleConnections = new ArrayDeque<>();
  private int reservedCount;

  private record IdleConnection(Connection<?> connection, long sinceNanoseconds) {}

  ConnectionPool(int connectionLimit, Duration idleTimeout) {
    this.connectionLimit = connectionLimit;
    this.idleTimeout = idleTimeout;
  }

  /**
   * Takes the idle connection that was used last, if it has not been idle for longer than the
   * limit.
   */
  synchronized Optional<Connection<?>> takeIdle(Duration idleLimit, long nowNanoseconds) {
    IdleConnection latest = idleConnections.peekLast();
    if (latest == null || nowNanoseconds - latest.sinceNanoseconds() >= idleLimit.toNanos()) {
      return Optional.empty();
    }
    return takeIdle(nowNanoseconds);
  }

  private Optional<Connection<?>> takeIdle(long nowNanoseconds) {
    IdleConnection candidate = idleConnections.pollLast();
    while (candidate != null) {
      long age = nowNanoseconds - candidate.sinceNanoseconds();
      if (candidate.connection().isOpen() && age < idleTimeout.toNanos()) {
        return Optional.of(candidate.connection());
      }
      candidate.connection().closeSilently();
      candidate = idleConnections.pollLast();
    }
    return Optional.empty();
  }

  /** Reserves a place for a new connection; returns whether there was one. */
  synchronized boolean reserve() {
    if (reservedCount >= connectionLimit) {
      return false;
    }
    reservedCount++;
    return true;
  }

  /** Gives the place of a connection back that was closed or never opened. */
  synchronized void releaseReservation() {
    reservedCount--;
  }

  /** Keeps a connection for the next exchange. */
  synchronized void release(Connection<?> connection, long nowNanoseconds) {
    idleConnections.addLast(new IdleConnection(connection, nowNanoseconds));
  }

  /** Returns whether a connection should be opened ahead of the next exchange. */
  synchronized boolean wantsSpare() {
    return idleConnections.isEmpty() && reservedCount < connectionLimit;
  }

  /** Closes the idle connections that are too old to be used. */
  synchronized void closeExpired(long nowNanoseconds) {
    Iterator<IdleConnection> oldestFirst = idleConnections.iterator();
    while (oldestFirst.hasNext()) {
      IdleConnection candidate = oldestFirst.next();
      if (nowNanoseconds - candidate.sinceNanoseconds() < idleTimeout.toNanos()) {
        return;
      }
      oldestFirst.remove();
      candidate.connection().closeSilently();
    }
  }

  synchronized int reservedCount() {
    return reservedCount;
  }
}
