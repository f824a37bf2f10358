package org.corianderweir.logic.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The number of this instance's requests in flight to a server, now and at a time within the
 * lifetime of a report. Not thread-safe.
 */
final class InFlightHistory {
  /** Bounds the memory for a server that gets very many requests; it needs no history then. */
  private static final int CHANGE_LIMIT = 128;

  private final Deque<Change> changes = new ArrayDeque<>(0);
  private int inFlight;

  private record Change(long nanoseconds, int difference) {}

  int inFlight() {
    return inFlight;
  }

  void add(int difference, long nowNanoseconds) {
    inFlight += difference;
    changes.addLast(new Change(nowNanoseconds, difference));
    long lifetime = ServerState.REPORT_LIFETIME.toNanos();
    while (changes.size() > CHANGE_LIMIT
        || nowNanoseconds - changes.getFirst().nanoseconds() > lifetime) {
      changes.removeFirst();
    }
  }

  /** Returns the number of requests in flight at a time. */
  int inFlightAt(long nanoseconds) {
    int count = inFlight;
    Iterator<Change> latestFirst = changes.descendingIterator();
    while (latestFirst.hasNext()) {
      Change change = latestFirst.next();
      if (change.nanoseconds() - nanoseconds <= 0) {
        break;
      }
      count -= change.difference();
    }
    return count;
  }
}
