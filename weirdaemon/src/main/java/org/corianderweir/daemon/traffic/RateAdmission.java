package org.corianderweir.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import org.corianderweir.logic.limits.AdmissionDecision;

/** Says whether a request is inside its organisation's rate and burst. */
interface RateAdmission {
  /**
   * Decides on one request; the decision may have to wait for an allowance.
   *
   * @param deadlineNanoseconds monotonic time after which the answer is of no use
   * @param nowNanoseconds present monotonic time
   */
  CompletableFuture<AdmissionDecision> admit(
      String organisation, long deadlineNanoseconds, long nowNanoseconds);
}
