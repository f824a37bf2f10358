package org.corianderweir.logic.limits;

/** Estimates the present rate of arrivals: quick to rise, slow to fall. Not thread-safe. */
final class DemandMeter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long SHORTEST_INTERVAL_NANOSECONDS = 10_000_000L;
  private static final double RISE_TIME_SECONDS = 0.1;
  private static final double FALL_TIME_SECONDS = 0.4;

  private double arrivals;
  private double perSecond;
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
      return perSecond;
    }
    double seconds = elapsed / NANOSECONDS_PER_SECOND;
    double latest = arrivals / seconds;
    double timeConstant = latest > perSecond ? RISE_TIME_SECONDS : FALL_TIME_SECONDS;
    perSecond += (latest - perSecond) * (1 - Math.exp(-seconds / timeConstant));
    arrivals = 0;
    measuredNanoseconds = nowNanoseconds;
    return perSecond;
  }
}
