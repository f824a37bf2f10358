package org.corianderweir.logic.limits;

/**
 * A token bucket: over any window it admits at most rate times window plus burst. Not thread-safe.
 */
public final class TokenBucket {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final double tokensPerSecond;
  private final double capacity;
  private double tokens;
  private long updatedNanoseconds;

  /**
   * Creates a bucket.
   *
   * @param tokensPerSecond refill rate
   * @param capacity largest number of tokens
   * @param initialTokens tokens at the start
   * @param nowNanoseconds present monotonic time
   */
  public TokenBucket(
      double tokensPerSecond, double capacity, double initialTokens, long nowNanoseconds) {
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = capacity;
    this.tokens = Math.min(initialTokens, capacity);
    this.updatedNanoseconds = nowNanoseconds;
  }

  /** Consumes tokens if enough are available; returns whether it did. */
  public boolean tryConsume(double wanted, long nowNanoseconds) {
    refill(nowNanoseconds);
    if (tokens < wanted) {
      return false;
    }
    tokens -= wanted;
    return true;
  }

  /** Returns the number of tokens available now. */
  public double available(long nowNanoseconds) {
    refill(nowNanoseconds);
    return tokens;
  }

  private void refill(long nowNanoseconds) {
    long elapsed = nowNanoseconds - updatedNanoseconds;
    if (elapsed <= 0) {
      return;
    }
    tokens = Math.min(capacity, tokens + elapsed * tokensPerSecond / NANOSECONDS_PER_SECOND);
    updatedNanoseconds = nowNanoseconds;
  }
}
