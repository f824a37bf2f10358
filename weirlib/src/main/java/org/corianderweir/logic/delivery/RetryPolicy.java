package org.corianderweir.logic.delivery;

import java.util.Set;
import org.corianderweir.model.request.Execution;

/** Decides whether a request is retried on another backend server after a failed attempt. */
public final class RetryPolicy {
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

  private RetryPolicy() {}

  /** Returns whether requests with a method are idempotent (RFC 9110, section 9.2.2). */
  public static boolean isIdempotent(String method) {
    return IDEMPOTENT_METHODS.contains(method);
  }

  /**
   * Returns whether a request may be retried. A request that certainly did not run may always be
   * retried before its deadline. A request that may have run is retried only if it is idempotent
   * and the retry budget allows it.
   *
   * @param remainingNanoseconds time until the deadline
   */
  public static boolean mayRetry(
      String method, Execution execution, long remainingNanoseconds, RetryBudget budget) {
    if (remainingNanoseconds <= 0) {
      return false;
    }
    return switch (execution) {
      case NOT_RUN -> true;
      case UNKNOWN -> isIdempotent(method) && budget.tryWithdraw();
    };
  }
}
