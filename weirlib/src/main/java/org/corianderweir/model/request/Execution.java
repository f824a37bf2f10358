package org.corianderweir.model.request;

/** Whether a refused request may have run on a backend server. */
public enum Execution {
  /** It did not run and can safely be retried. */
  NOT_RUN("not-run"),
  /** It may have run or not. */
  UNKNOWN("unknown");

  private final String text;

  Execution(String text) {
    this.text = text;
  }

  /** Returns the text that is sent to callers. */
  public String text() {
    return text;
  }
}
