package org.corianderweir.ctl;

/** The program {@code weirctl}, which calls the operators' interface of entry instances. */
public final class ControlMain {
  private ControlMain() {}

  /** Runs a command and exits with its status. docs/WEIRCTL.md lists the exit statuses. */
  public static void main(String[] arguments) {
    CommandLine commandLine = new CommandLine(System.getenv(), System.out, System.err);
    System.exit(commandLine.run(arguments).number());
  }
}
