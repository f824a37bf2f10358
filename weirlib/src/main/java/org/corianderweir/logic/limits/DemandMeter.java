package org.corianderweir.logic.limits;

/**
 * Estimates the present rate of arrivals by two exponential averages: the slow one is steady, and
 * gives way to the fast one when the two differ by more than chance explains. When arrivals stay
 * away that were all but certain, the estimate is zero at once. Not thread-safe.
 */
final class DemandMeter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long SHORTEST_INTERVAL_NANOSECONDS = 10_000_000L;
  private static final double FAST_SECONDS = 0.15;
  private static final double SLOW_SECONDS = 3;
  private static final double DEVIATIONS = 3;
  private static final double MISSED_ARRIVALS = 10;
  private static final double SMALLEST_PER_SECOND = 5;

  private double arrivals;
  private double fast;
  private double slow;
  private double quietSeconds;
  private long measuredNanoseconds;

  DemandMeter(long nowNanoseconds) {
    measuredNanoseconds = nowNanoseconds;
  }

  void arrived(double amount) {
    arrivals += amount;
  }

  /** Returns the estimate in tokens a second. */
  double perSecond(long nowNanoseconds) {
    long elapsed = nowNanoseconds - measuredNanoseconds;
    if (elapsed < SHORTEST_INTERVAL_NANOSECONDS) {
      return slow;
    }
    double seconds = elapsed / NANOSECONDS_PER_SECOND;
    double latest = arrivals / seconds;
    fast += (latest - fast) * (1 - Math.exp(-seconds / FAST_SECONDS));
    slow += (latest - slow) * (1 - Math.exp(-seconds / SLOW_SECONDS));
    double deviation = Math.sqrt(Math.max(slow, SMALLEST_PER_SECOND) / (2 * FAST_SECONDS));
    if (Math.abs(fast - slow) > DEVIATIONS * deviation) {
      slow = fast;
    }
    quietSeconds = arrivals > 0 ? 0 : quietSeconds + seconds;
    if (quietSeconds * slow > MISSED_ARRIVALS) {
      fast = 0;
      slow = 0;
    }
    arrivals = 0;
    measuredNanoseconds = nowNanoseconds;
    return slow;
  }
}
