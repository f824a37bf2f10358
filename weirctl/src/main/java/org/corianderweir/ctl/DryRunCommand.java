package org.corianderweir.ctl;

import com.beust.jcommander.Parameters;

/**
 * Lists {@code dry-run} in the help. Runs only if no other command follows, which is an error;
 * otherwise {@link CommandLine} replaces the word {@code dry-run} by the option {@code --dry-run}.
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
