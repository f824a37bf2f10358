package org.corianderweir.bench.limits;

/** Enforces the rate limit of one organisation over the simulated fleet. */
sealed interface RateLimiter
    permits GlobalBucketRateLimiter,
        LoanRateLimiter,
        FixedSliceRateLimiter,
        SingleOwnerRateLimiter {
  /**
   * Handles a request that arrives at an instance. The statistics receive its outcome when it is
   * known.
   *
   * @param measured whether the request counts in the statistics, beyond the excess
   */
  void handleRequest(int instance, boolean measured);
}
