package org.corianderweir.bench.limits;

/** A way to hold an organisation to its rate. */
sealed interface RateLimiter
    permits GlobalBucketRateLimiter,
        LoanRateLimiter,
        FixedSliceRateLimiter,
        SingleOwnerRateLimiter {
  /** Takes a request at an instance; the tally is told of the outcome when it is known. */
  void handleRequest(int instance, boolean measured);
}
