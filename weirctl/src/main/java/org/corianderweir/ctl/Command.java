package org.corianderweir.ctl;

/** A command of {@code weirctl} that calls the operators' interface. */
public interface Command {
  /**
   * Runs the command and returns its result.
   *
   * @throws CommandException if the command fails
   */
  CommandResult run(CommandContext context);
}
