package org.corianderweir.model.request;

/**
 * The body of an HTTP answer that refuses a request.
 *
 * @param code code of the reason
 * @param execution whether the request may have run, as the text of an {@link Execution}
 * @param message description for people
 */
public record Refusal(String code, String execution, String message) {
  /** Creates a refusal for a reason. */
  public static Refusal of(RefusalReason reason, Execution execution, String message) {
    return new Refusal(reason.code(), execution.text(), message);
  }
}
