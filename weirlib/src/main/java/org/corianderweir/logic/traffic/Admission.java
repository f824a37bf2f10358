package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;

/** Whether a request is taken on. */
public sealed interface Admission {
  /** It is taken on. */
  record Admitted(AdmittedRequest request) implements Admission {}

  /**
   * It is not, and has not run.
   *
   * @param rateLimit what decided if the organisation's limit is used up
   */
  record Rejected(
      RejectionReason reason, Duration retryAfter, Optional<RateLimitSnapshot> rateLimit)
      implements Admission {
    Rejected(RejectionReason reason, Duration comeBackAfter) {
      this(reason, comeBackAfter, Optional.empty());
    }
  }
}
