package org.corianderweir.ctl;

/** A command of {@code weirctl} that does not call entry instances. */
public interface LocalCommand {
  /**
   * Runs the command and returns its result.
   *
   * @throws CommandException if the command fails
   */
  CommandResult run();
}
