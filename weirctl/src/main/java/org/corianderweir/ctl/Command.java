package org.corianderweir.ctl;

/** A command of {@code weirctl}. */
public interface Command {
  /** Does what the command says. */
  CommandResult run(CommandContext context);
}
