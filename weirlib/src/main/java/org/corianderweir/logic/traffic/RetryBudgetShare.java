package org.corianderweir.logic.traffic;

/**
 * The share of a service's retry budget that one instance may use without coordination: the retry
 * ratio of its own requests and an equal part of the margin. The shares add up to the budget, so
 * the budget also holds while instances cannot reach each other. Not thread-safe.
 */
final class RetryBudgetShare {
  private static final int BUCKET_COUNT = 20;

  /** Keeps the sum of the shares within the budget although the instances' windows differ. */
  private static final double SAFETY_RATIO = 0.85;

  private final FleetBounds bounds;
  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter retries;

  RetryBudgetShare(FleetBounds bounds) {
    this.bounds = bounds;
    requests = new SlidingWindowCounter(bounds.retryWindow().toNanos(), BUCKET_COUNT);
    retries = new SlidingWindowCounter(bounds.retryWindow().toNanos(), BUCKET_COUNT);
  }

  void recordRequest(long nowNanoseconds) {
    requests.add(nowNanoseconds);
  }

  /** Uses one retry of the budget; returns false if the budget is used up. */
  boolean tryAcquireRetry(int instances, long nowNanoseconds) {
    double margin = bounds.retryMargin() / instances;
    double allowed = SAFETY_RATIO * (bounds.retryRatio() * requests.count(nowNanoseconds) + margin);
    if (retries.count(nowNanoseconds) + 1 > allowed) {
      return false;
    }
    retries.add(nowNanoseconds);
    return true;
  }
}
