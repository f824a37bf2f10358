package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;

/** The decision whether an entry instance admits a request. */
public sealed interface Admission {
  /** The request is admitted. */
  record Admitted(AdmittedRequest request) implements Admission {}

  /**
   * The request is rejected without having run on any server.
   *
   * @param reason why the request is rejected
   * @param retryAfter time after which the caller may try again
   * @param rateLimit the state of the rate limit; present only if the organisation's limit is used
   *     up
   */
  record Rejected(
      RejectionReason reason, Duration retryAfter, Optional<RateLimitSnapshot> rateLimit)
      implements Admission {
    Rejected(RejectionReason reason, Duration retryAfter) {
      this(reason, retryAfter, Optional.empty());
    }
  }
}
