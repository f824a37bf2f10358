package org.corianderweir.logic.traffic;

/**
 * Divides a number of requests that the fleet may admit before its instances know of each other's
 * demand. The number of requests that arrive at an instance in that time is a Poisson variable. An
 * instance whose expected number is small rarely uses its whole part; therefore its bound is higher
 * than its part, such that the expected number of admitted requests equals the part.
 */
final class SurgeAllowance {
  /** Above this mean the bound of an instance is nearly its part of the allowed requests. */
  private static final double LARGE_MEAN = 60;

  /** Bound in standard deviations where the allowed requests cover the whole mean. */
  private static final double UNLIMITED_DEVIATIONS = 4;

  private SurgeAllowance() {}

  /**
   * Returns the bound {@code c} for which {@code E[min(N, c)]} equals the allowed number of
   * requests, where {@code N} is a Poisson variable. Between two whole numbers the bound is the
   * lower one or the higher one, so that the mean is the returned value.
   *
   * @param mean mean of the number of requests that arrive, at least 0
   * @param allowed number of requests that may be admitted on average, at least 0
   */
  static double bound(double mean, double allowed) {
    if (allowed >= mean) {
      return mean + UNLIMITED_DEVIATIONS * (Math.sqrt(mean) + 1);
    }
    if (mean > LARGE_MEAN) {
      return allowed;
    }
    double probability = Math.exp(-mean);
    // Probability that more than the number of requests in "whole" arrive.
    double excess = 1 - probability;
    double admitted = 0;
    int whole = 0;
    while (admitted + excess < allowed && excess > 1e-9) {
      admitted += excess;
      whole++;
      probability *= mean / whole;
      excess -= probability;
    }
    return whole + Math.min(1, (allowed - admitted) / Math.max(excess, 1e-9));
  }
}
