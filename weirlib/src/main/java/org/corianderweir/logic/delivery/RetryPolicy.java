package org.corianderweir.logic.delivery;

import java.util.Set;
import org.corianderweir.model.request.Execution;

/** Decides whether a request is sent to another backend server after a failed attempt. */
public final class RetryPolicy {
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

  private RetryPolicy() {}

  /** Returns whether running a request twice does what running it once does (RFC 9110, 9.2.2). */
  public static boolean isIdempotent(String method) {
    return IDEMPOTENT_METHODS.contains(method);
  }

  /**
   * Decides on a retry. A request that certainly did not run may always be tried again; one that
   * may have run only if it is idempotent and within the budget.
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
