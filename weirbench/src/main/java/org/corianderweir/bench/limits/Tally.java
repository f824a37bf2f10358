package org.corianderweir.bench.limits;

import org.HdrHistogram.Histogram;
import org.corianderweir.logic.limits.Allowance;

/** What became of the requests, and whether more was admitted than the limit allows. */
final class Tally {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int DIGITS = 3;
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

  private final Allowance limit;
  private final Histogram waitMicroseconds = new Histogram(DIGITS);
  private double level;
  private double lowest;
  private long checkedNanoseconds;
  private long admitted;
  private long refused;

  Tally(Allowance limit) {
    this.limit = limit;
    this.level = limit.capacity();
  }

  /** Notes an admission; every one counts for the excess, the measured ones for the rest. */
  void countAdmitted(long now, long waitNanoseconds, boolean measured) {
    double gained = (now - checkedNanoseconds) * limit.rate() / NANOSECONDS_PER_SECOND;
    level = Math.min(limit.capacity(), level + gained) - 1;
    lowest = Math.min(lowest, level);
    checkedNanoseconds = now;
    if (measured) {
      admitted++;
      waitMicroseconds.recordValue(waitNanoseconds / 1_000);
    }
  }

  void countRefused(boolean measured) {
    refused += measured ? 1 : 0;
  }

  long admitted() {
    return admitted;
  }

  long refused() {
    return refused;
  }

  /** Returns the requests admitted above the limit in the worst window. */
  double excess() {
    return Math.max(0, -lowest);
  }

  double meanWaitMilliseconds() {
    return waitMicroseconds.getMean() / MICROSECONDS_PER_MILLISECOND;
  }

  double waitMilliseconds(double percentile) {
    return waitMicroseconds.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }
}
