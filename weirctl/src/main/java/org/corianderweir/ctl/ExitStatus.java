package org.corianderweir.ctl;

/** The exit statuses of {@code weirctl}. docs/WEIRCTL.md lists them for operators. */
public enum ExitStatus {
  /** The command succeeded. */
  OK(0),
  /** The command failed, or its outcome is unknown. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** None of the entry instances can be reached. */
  UNREACHABLE(3),
  /** Another change was accepted first. */
  CONFLICT(4),
  /** The change is invalid and was rejected. */
  INVALID(5);

  private final int number;

  ExitStatus(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process as a number. */
  public int number() {
    return number;
  }
}
