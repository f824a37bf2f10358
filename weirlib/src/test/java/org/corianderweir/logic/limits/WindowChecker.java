package org.corianderweir.logic.limits;

/**
 * Checks that all instances together admit at most rate times window plus burst over every window.
 * This holds for all windows if and only if a token bucket that starts full never falls below zero.
 */
final class WindowChecker {
  private static final double ROUNDING_TOLERANCE_TOKENS = 1e-6;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final Allowance limit;
  private double availableTokens;
  private double lowestMargin;
  private long checkedNanoseconds;
  private long admittedCount;

  WindowChecker(Allowance limit) {
    this.limit = limit;
    this.availableTokens = limit.capacity();
  }

  void recordAdmission(long trueNanoseconds) {
    refill(trueNanoseconds);
    availableTokens -= 1;
    lowestMargin = Math.min(lowestMargin, availableTokens);
    admittedCount++;
  }

  /** Checks that what all instances hold together is within the limit. */
  void checkHoldings(Allowance held, double tokens, long trueNanoseconds) {
    refill(trueNanoseconds);
    lowestMargin = Math.min(lowestMargin, limit.rate() - held.rate());
    lowestMargin = Math.min(lowestMargin, limit.capacity() - held.capacity());
    lowestMargin = Math.min(lowestMargin, availableTokens - tokens);
  }

  private void refill(long trueNanoseconds) {
    double gained = (trueNanoseconds - checkedNanoseconds) * limit.rate() / NANOSECONDS_PER_SECOND;
    availableTokens = Math.min(limit.capacity(), availableTokens + gained);
    checkedNanoseconds = trueNanoseconds;
  }

  boolean isWithinLimit() {
    return lowestMargin >= -ROUNDING_TOLERANCE_TOKENS;
  }

  double excess() {
    return Math.max(0, -lowestMargin);
  }

  long admittedCount() {
    return admittedCount;
  }
}
