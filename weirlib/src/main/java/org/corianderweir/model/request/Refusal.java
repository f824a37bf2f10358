package org.corianderweir.model.request;

/**
 * The body of a refusal.
 *
 * @param code code of the reason
 * @param execution whether the request may have run
 * @param message what happened, for people
 */
public record Refusal(String code, String execution, String message) {
  /** Creates the body for a reason. */
  public static Refusal of(RefusalReason reason, Execution execution, String message) {
    return new Refusal(reason.code(), execution.text(), message);
  }
}
