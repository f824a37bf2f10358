package org.corianderweir.bench.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps the recent numbers of requests in flight, so that a server can report an outdated load.
 * Thread-safe.
 */
final class LoadHistory {
  private static final int MAXIMUM_SAMPLE_COUNT = 20_000;

  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(long nanoseconds, int inFlight) {}

  synchronized void record(long nowNanoseconds, int inFlight) {
    samples.addLast(new Sample(nowNanoseconds, inFlight));
    if (samples.size() > MAXIMUM_SAMPLE_COUNT) {
      samples.removeFirst();
    }
  }

  /** Returns the requests in flight at the given time; zero before the oldest kept sample. */
  synchronized int inFlightAt(long nanoseconds) {
    var newestFirst = samples.descendingIterator();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (sample.nanoseconds() <= nanoseconds) {
        return sample.inFlight();
      }
    }
    return 0;
  }
}
