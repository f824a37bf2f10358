package org.corianderweir.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import org.corianderweir.logic.limits.AdmissionDecision;

/** Decides whether a request is within the rate limit and burst of its organisation. */
interface RateAdmission {
  /**
   * Decides on one request. The future may complete late, because the request can wait for an
   * allowance.
   *
   * @param deadlineNanoseconds monotonic time after which a decision is of no use
   * @param nowNanoseconds present monotonic time
   */
  CompletableFuture<AdmissionDecision> admit(
      String organisation, long deadlineNanoseconds, long nowNanoseconds);
}
