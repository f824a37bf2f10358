package org.corianderweir.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;

/**
 * The connections of a client to one address. Each connection that is open or being opened holds a
 * reservation, and the number of reservations never exceeds the limit. Thread-safe.
 */
final class ConnectionPool {
  private final int connectionLimit;
  private final ArrayDeque<IdleConnection> idleConnections = new ArrayDeque<>();
  private int reservedCount;

  /**
   * A connection without an exchange.
   *
   * @param lifetime time for which it may be idle and still be used
   */
  private record IdleConnection(
      Connection<?> connection, long sinceNanoseconds, Duration lifetime) {
    boolean isUsable(long nowNanoseconds) {
      return connection.isOpen() && nowNanoseconds - sinceNanoseconds < lifetime.toNanos();
    }
  }

  ConnectionPool(int connectionLimit) {
    this.connectionLimit = connectionLimit;
  }

  /**
   * Takes the idle connection that was used last among those that are suitable, if it has been idle
   * for less than the given limit.
   */
  synchronized Optional<Connection<?>> takeIdle(
      Duration idleLimit, long nowNanoseconds, Predicate<Connection<?>> suitable) {
    Iterator<IdleConnection> candidates = idleConnections.descendingIterator();
    while (candidates.hasNext()) {
      IdleConnection candidate = candidates.next();
      if (nowNanoseconds - candidate.sinceNanoseconds() >= idleLimit.toNanos()) {
        return Optional.empty();
      }
      if (!candidate.isUsable(nowNanoseconds)) {
        candidates.remove();
        candidate.connection().closeSilently();
      } else if (suitable.test(candidate.connection())) {
        candidates.remove();
        return Optional.of(candidate.connection());
      }
    }
    return Optional.empty();
  }

  /** Makes a reservation for a new connection; returns whether the limit allows it. */
  synchronized boolean reserve() {
    if (reservedCount >= connectionLimit) {
      return false;
    }
    reservedCount++;
    return true;
  }

  /** Releases the reservation of a connection that was closed or could not be opened. */
  synchronized void releaseReservation() {
    reservedCount--;
  }

  /** Returns a connection to the pool for an exchange that begins within its idle lifetime. */
  synchronized void release(Connection<?> connection, Duration lifetime, long nowNanoseconds) {
    idleConnections.addLast(new IdleConnection(connection, nowNanoseconds, lifetime));
  }

  /** Returns whether no connection is idle and another one may be opened in advance. */
  synchronized boolean shouldPreconnect() {
    return idleConnections.isEmpty() && reservedCount < connectionLimit;
  }

  /** Closes the connections that have been idle for their lifetime or longer. */
  synchronized void closeExpired(long nowNanoseconds) {
    Iterator<IdleConnection> candidates = idleConnections.iterator();
    while (candidates.hasNext()) {
      IdleConnection candidate = candidates.next();
      if (!candidate.isUsable(nowNanoseconds)) {
        candidates.remove();
        candidate.connection().closeSilently();
      }
    }
  }

  synchronized int reservedCount() {
    return reservedCount;
  }
}
