package org.corianderweir.logic.limits;

/**
 * Checks what all instances admitted together: over every window at most rate times window plus
 * burst. That holds for all windows exactly if a bucket that starts full never runs below zero.
 */
final class WindowChecker {
  private static final double ROUNDING = 1e-6;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final Allowance limit;
  private double level;
  private double lowest;
  private long checkedNanoseconds;
  private long admitted;

  WindowChecker(Allowance limit) {
    this.limit = limit;
    this.level = limit.capacity();
  }

  void admitted(long trueNanoseconds) {
    refill(trueNanoseconds);
    level -= 1;
    lowest = Math.min(lowest, level);
    admitted++;
  }

  /** Checks that what all instances hold together is inside the limit. */
  void couldSpend(Allowance held, double tokens, long trueNanoseconds) {
    refill(trueNanoseconds);
    lowest = Math.min(lowest, limit.rate() - held.rate());
    lowest = Math.min(lowest, limit.capacity() - held.capacity());
    lowest = Math.min(lowest, level - tokens);
  }

  private void refill(long trueNanoseconds) {
    double gained = (trueNanoseconds - checkedNanoseconds) * limit.rate() / NANOSECONDS_PER_SECOND;
    level = Math.min(limit.capacity(), level + gained);
    checkedNanoseconds = trueNanoseconds;
  }

  boolean holds() {
    return lowest >= -ROUNDING;
  }

  double excess() {
    return Math.max(0, -lowest);
  }

  long count() {
    return admitted;
  }
}
