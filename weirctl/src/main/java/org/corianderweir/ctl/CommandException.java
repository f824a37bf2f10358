package org.corianderweir.ctl;

/** Thrown when a command fails. Tells the operator what happened and what to do next. */
public final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitStatus status;
  private final String code;
  private final String nextStep;

  /**
   * Creates an exception.
   *
   * @param status exit status of the process
   * @param code error code
   * @param message description of the error
   * @param nextStep what the operator can do next
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

  /** Returns the error code. */
  public String code() {
    return code;
  }

  /** Returns what the operator can do next. */
  public String nextStep() {
    return nextStep;
  }
}
