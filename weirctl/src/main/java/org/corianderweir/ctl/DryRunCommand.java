package org.corianderweir.ctl;

import com.beust.jcommander.Parameters;

/**
 * Shows {@code dry-run} in the help. It is never run before another command, because {@link
 * CommandLine} replaces the word by the option {@code --dry-run} then.
 */
@Parameters(
    commandDescription =
        "say what the command that follows would do, e.g. 'dry-run drain server-1'")
final class DryRunCommand implements Command {
  @Override
  public CommandResult run(CommandContext context) {
    throw new CommandException(
        ExitStatus.USAGE,
        "usage",
        "dry-run needs a command that makes a change",
        "write for example 'weirctl dry-run drain server-1'");
  }
}
