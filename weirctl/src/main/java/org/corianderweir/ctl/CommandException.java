package org.corianderweir.ctl;

/** A command did not succeed; says what happened and what the operator can do next. */
public final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitStatus status;
  private final String code;
  private final String nextStep;

  /**
   * Creates an exception.
   *
   * @param status exit status of the process
   * @param code code of the error
   * @param message what happened
   * @param nextStep what the operator can do
   */
  public CommandException(ExitStatus status, String code, String message, String nextStep) {
    super(message);
    this.status = status;
    this.code = code;
    this.nextStep = nextStep;
  }

  /** Returns the exit status of the process. */
  public ExitStatus status() {
    return status;
  }

  /** Returns the code of the error. */
  public String code() {
    return code;
  }

  /** Returns what the operator can do. */
  public String nextStep() {
    return nextStep;
  }
}
