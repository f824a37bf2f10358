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
   * @param measured whether the request counts towards the numbers and wait times of the
   *     statistics; admissions count towards the excess in any case
   */
  void handleRequest(int instance, boolean measured);
}
