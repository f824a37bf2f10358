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
  private final int limit;
  private final Duration idleLifetime;
  private final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();
  private int places;

  private record IdleConnection(Connection<?> connection, long sinceNanoseconds) {}

  ConnectionPool(int limit, Duration idleLifetime) {
    this.limit = limit;
    this.idleLifetime = idleLifetime;
  }

  /**
   * Takes the idle connection that was used last, if it has not been idle for longer than the
   * limit.
   */
  synchronized Optional<Connection<?>> takeIdle(Duration idleLimit, long nowNanoseconds) {
    IdleConnection latest = idle.peekLast();
    if (latest == null || nowNanoseconds - latest.sinceNanoseconds() >= idleLimit.toNanos()) {
      return Optional.empty();
    }
    return takeIdle(nowNanoseconds);
  }

  private Optional<Connection<?>> takeIdle(long nowNanoseconds) {
    IdleConnection candidate = idle.pollLast();
    while (candidate != null) {
      long age = nowNanoseconds - candidate.sinceNanoseconds();
      if (candidate.connection().isOpen() && age < idleLifetime.toNanos()) {
        return Optional.of(candidate.connection());
      }
      candidate.connection().closeSilently();
      candidate = idle.pollLast();
    }
    return Optional.empty();
  }

  /** Reserves a place for a new connection; returns whether there was one. */
  synchronized boolean reserve() {
    if (places >= limit) {
      return false;
    }
    places++;
    return true;
  }

  /** Gives the place of a connection back that was closed or never opened. */
  synchronized void freePlace() {
    places--;
  }

  /** Keeps a connection for the next exchange. */
  synchronized void release(Connection<?> connection, long nowNanoseconds) {
    idle.addLast(new IdleConnection(connection, nowNanoseconds));
  }

  /** Returns whether a connection should be opened ahead of the next exchange. */
  synchronized boolean wantsSpare() {
    return idle.isEmpty() && places < limit;
  }

  /** Closes the idle connections that are too old to be used. */
  synchronized void closeOld(long nowNanoseconds) {
    Iterator<IdleConnection> oldestFirst = idle.iterator();
    while (oldestFirst.hasNext()) {
      IdleConnection candidate = oldestFirst.next();
      if (nowNanoseconds - candidate.sinceNanoseconds() < idleLifetime.toNanos()) {
        return;
      }
      oldestFirst.remove();
      candidate.connection().closeSilently();
    }
  }

  synchronized int places() {
    return places;
  }
}
