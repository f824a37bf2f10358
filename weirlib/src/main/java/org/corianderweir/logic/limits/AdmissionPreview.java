package org.corianderweir.logic.limits;

/** What would be decided on a request under the rate and burst of its organisation. */
public sealed interface AdmissionPreview {
  /** The request would be admitted at once. */
  record Admitted() implements AdmissionPreview {}

  /** The request would wait until it is admitted, or refused at its deadline. */
  record Queued() implements AdmissionPreview {}

  /**
   * The request would be refused.
   *
   * @param retryAfterMilliseconds time after which a retry may be admitted
   */
  record Refused(long retryAfterMilliseconds) implements AdmissionPreview {}
}
