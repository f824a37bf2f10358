package org.corianderweir.logic.traffic;

/**
 * The part of a service's retry budget that one instance may spend without asking the others: the
 * ratio of its own requests and an equal part of the margin. The parts add up to the budget, so it
 * holds whoever can't be reached. Not thread-safe.
 */
final class RetryBudgetShare {
  private static final int BUCKET_COUNT = 20;

  /** Keeps the sum below the bound although the windows of the instances differ. */
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

  /** Takes the right to send a request once more; returns whether there was one. */
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
