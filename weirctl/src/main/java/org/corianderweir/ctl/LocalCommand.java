package org.corianderweir.ctl;

/** A command that asks no entry instance. */
public interface LocalCommand {
  /**
   * Runs the command.
   *
   * @throws CommandException if it fails
   */
  CommandResult run();
}
