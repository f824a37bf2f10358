package org.corianderweir.logic.traffic;

import java.time.Duration;

/** Whether a request is taken on. */
public sealed interface Admission {
  /** It is taken on. */
  record Admitted(RequestPlan plan) implements Admission {}

  /** It is not, and has not run. */
  record Rejected(RejectionReason reason, Duration comeBackAfter) implements Admission {}
}
