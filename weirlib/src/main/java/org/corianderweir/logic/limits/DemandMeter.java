package org.corianderweir.logic.limits;

/**
 * Estimates the current arrival rate with two exponential moving averages. The estimate is the slow
 * average, which is steady; it is set to the fast average when the two differ by more than random
 * variation explains. The estimate is set to zero when no request arrives for so long that at least
 * one was almost certain to arrive. Not thread-safe.
 */
final class DemandMeter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long MINIMUM_INTERVAL_NANOSECONDS = 10_000_000L;
  private static final double FAST_TIME_CONSTANT_SECONDS = 0.15;
  private static final double SLOW_TIME_CONSTANT_SECONDS = 3;
  private static final double SIGNIFICANT_DEVIATIONS_COUNT = 3;
  private static final double IDLE_MISSED_ARRIVALS_COUNT = 10;
  private static final double MINIMUM_RATE_PER_SECOND = 5;

  private double arrivals;
  private double fastAverage;
  private double slowAverage;
  private double idleSeconds;
  private long lastMeasuredNanoseconds;

  DemandMeter(long nowNanoseconds) {
    lastMeasuredNanoseconds = nowNanoseconds;
  }

  void recordArrival(double amount) {
    arrivals += amount;
  }

  /** Returns the estimated arrival rate in tokens a second. */
  double estimatePerSecond(long nowNanoseconds) {
    long elapsed = nowNanoseconds - lastMeasuredNanoseconds;
    if (elapsed < MINIMUM_INTERVAL_NANOSECONDS) {
      return slowAverage;
    }
    double seconds = elapsed / NANOSECONDS_PER_SECOND;
    double latest = arrivals / seconds;
    fastAverage += (latest - fastAverage) * (1 - Math.exp(-seconds / FAST_TIME_CONSTANT_SECONDS));
    slowAverage += (latest - slowAverage) * (1 - Math.exp(-seconds / SLOW_TIME_CONSTANT_SECONDS));
    double deviation =
        Math.sqrt(
            Math.max(slowAverage, MINIMUM_RATE_PER_SECOND) / (2 * FAST_TIME_CONSTANT_SECONDS));
    if (Math.abs(fastAverage - slowAverage) > SIGNIFICANT_DEVIATIONS_COUNT * deviation) {
      slowAverage = fastAverage;
    }
    idleSeconds = arrivals > 0 ? 0 : idleSeconds + seconds;
    if (idleSeconds * slowAverage > IDLE_MISSED_ARRIVALS_COUNT) {
      fastAverage = 0;
      slowAverage = 0;
    }
    arrivals = 0;
    lastMeasuredNanoseconds = nowNanoseconds;
    return slowAverage;
  }
}
