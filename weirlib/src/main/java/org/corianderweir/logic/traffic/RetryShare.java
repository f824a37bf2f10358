package org.corianderweir.logic.traffic;

/**
 * The part of a service's retry budget that one instance may spend without asking the others: the
 * ratio of its own requests and an equal part of the margin. The parts add up to the budget, so it
 * holds whoever can't be reached. Not thread-safe.
 */
final class RetryShare {
  private static final int BUCKETS = 20;

  /** Keeps the sum below the bound although the windows of the instances differ. */
  private static final double SAFETY = 0.85;

  private final FleetBounds bounds;
  private final SlidingCount requests;
  private final SlidingCount repeats;

  RetryShare(FleetBounds bounds) {
    this.bounds = bounds;
    requests = new SlidingCount(bounds.retryWindow().toNanos(), BUCKETS);
    repeats = new SlidingCount(bounds.retryWindow().toNanos(), BUCKETS);
  }

  void requested(long nowNanoseconds) {
    requests.add(nowNanoseconds);
  }

  /** Takes the right to send a request once more; returns whether there was one. */
  boolean tryRepeat(int instances, long nowNanoseconds) {
    double margin = bounds.retryMargin() / instances;
    double allowed = SAFETY * (bounds.retryRatio() * requests.count(nowNanoseconds) + margin);
    if (repeats.count(nowNanoseconds) + 1 > allowed) {
      return false;
    }
    repeats.add(nowNanoseconds);
    return true;
  }
}
