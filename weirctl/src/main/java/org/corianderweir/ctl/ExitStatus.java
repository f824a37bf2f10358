package org.corianderweir.ctl;

/** The exit statuses of {@code weirctl}; docs/WEIRCTL.md lists them for operators. */
public enum ExitStatus {
  /** The command did what it says. */
  OK(0),
  /** The command failed, or its outcome is not known. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** None of the entry instances can be reached. */
  UNREACHABLE(3),
  /** Another change came first. */
  CONFLICT(4),
  /** The change breaks a rule and was refused. */
  INVALID(5);

  private final int number;

  ExitStatus(int number) {
    this.number = number;
  }

  /** Returns the number that the process ends with. */
  public int number() {
    return number;
  }
}
