package org.corianderweir.logic.limits;

/** Whether a request is admitted under the rate and burst of its organisation. */
public sealed interface AdmissionDecision {
  /** The shared instance of {@link Admitted}. */
  AdmissionDecision ADMITTED = new Admitted();

  /** The request is admitted. */
  record Admitted() implements AdmissionDecision {}

  /**
   * The request is refused, because the organisation is over its rate or the limit is no longer
   * defined.
   *
   * @param retryAfterMilliseconds time after which a retry may be admitted
   */
  record Refused(long retryAfterMilliseconds) implements AdmissionDecision {}
}
