package org.corianderweir.model.request;

/** Whether a request that was not answered may have run on a backend server. */
public enum Execution {
  /** It certainly did not run and can be repeated. */
  NOT_RUN("not-run"),
  /** It may have run. */
  UNKNOWN("unknown");

  private final String text;

  Execution(String text) {
    this.text = text;
  }

  /** Returns the text that callers see. */
  public String text() {
    return text;
  }
}
