package org.corianderweir.logic.delivery;

/**
 * Limits the retries of requests that may have run already to a share of the traffic, so that
 * retries cannot multiply the load on failing backend servers. Thread-safe.
 */
public final class RetryBudget {
  private final double tokensPerRequest;
  private final double capacity;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param tokensPerRequest retries allowed per first attempt, below one
   * @param capacity largest number of retries that can accumulate
   */
  public RetryBudget(double tokensPerRequest, double capacity) {
    this.tokensPerRequest = tokensPerRequest;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Counts the first attempt of a request. */
  public synchronized void deposit() {
    tokens = Math.min(capacity, tokens + tokensPerRequest);
  }

  /** Takes one retry from the budget; returns whether one was available. */
  public synchronized boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
