package org.corianderweir.ctl.command;

import java.util.List;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.ExitStatus;

/** Checks the positional arguments of a command. */
final class PositionalArguments {
  private PositionalArguments() {}

  static void requireCount(List<String> arguments, String... names) {
    if (arguments.size() != names.length) {
      throw usageError(
          "found " + arguments.size() + " arguments after the command",
          "write " + String.join(" ", names));
    }
  }

  static CommandException usageError(String message, String nextStep) {
    return new CommandException(ExitStatus.USAGE, "usage", message, nextStep);
  }
}
