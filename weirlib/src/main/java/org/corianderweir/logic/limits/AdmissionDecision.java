package org.corianderweir.logic.limits;

/** Whether an organisation's request is inside its rate and burst. */
public sealed interface AdmissionDecision {
  /** The one value of {@link Admitted}. */
  AdmissionDecision ADMITTED = new Admitted();

  /** The request may go on. */
  record Admitted() implements AdmissionDecision {}

  /**
   * The organisation is over its rate.
   *
   * @param retryAfterMilliseconds time after which there may be an allowance
   */
  record Refused(long retryAfterMilliseconds) implements AdmissionDecision {}
}
