package org.corianderweir.logic.limits;

/** Whether an organisation's request is inside its rate and burst. */
public sealed interface AdmissionDecision {
  /** The shared instance of {@link Admitted}. */
  AdmissionDecision ADMITTED = new Admitted();

  /** The request is admitted. */
  record Admitted() implements AdmissionDecision {}

  /**
   * The organisation is over its rate.
   *
   * @param retryAfterMilliseconds time after which a retry may be admitted
   */
  record Refused(long retryAfterMilliseconds) implements AdmissionDecision {}
}
