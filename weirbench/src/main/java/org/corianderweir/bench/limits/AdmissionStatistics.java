package org.corianderweir.bench.limits;

import org.HdrHistogram.Histogram;
import org.corianderweir.logic.limits.Allowance;

/** Counts admitted and refused requests and measures how far the admissions exceed the limit. */
final class AdmissionStatistics {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

  private final Allowance limit;
  private final Histogram waitMicroseconds = new Histogram(SIGNIFICANT_DIGITS);
  private double bucketTokens;
  private double minimumTokens;
  private long updatedNanoseconds;
  private long admitted;
  private long refused;

  AdmissionStatistics(Allowance limit) {
    this.limit = limit;
    this.bucketTokens = limit.capacity();
  }

  /**
   * Records an admission. Every admission counts towards the excess; only measured ones count
   * towards the number of admissions and the wait times.
   */
  void recordAdmission(long nowNanoseconds, long waitNanoseconds, boolean measured) {
    double refilledTokens =
        (nowNanoseconds - updatedNanoseconds) * limit.rate() / NANOSECONDS_PER_SECOND;
    bucketTokens = Math.min(limit.capacity(), bucketTokens + refilledTokens) - 1;
    minimumTokens = Math.min(minimumTokens, bucketTokens);
    updatedNanoseconds = nowNanoseconds;
    if (measured) {
      admitted++;
      waitMicroseconds.recordValue(waitNanoseconds / 1_000);
    }
  }

  void recordRefusal(boolean measured) {
    refused += measured ? 1 : 0;
  }

  long admitted() {
    return admitted;
  }

  long refused() {
    return refused;
  }

  /** Returns the largest number of requests by which any time window exceeded the limit. */
  double excessRequests() {
    return Math.max(0, -minimumTokens);
  }

  double meanWaitMilliseconds() {
    return waitMicroseconds.getMean() / MICROSECONDS_PER_MILLISECOND;
  }

  double waitMilliseconds(double percentile) {
    return waitMicroseconds.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }
}
