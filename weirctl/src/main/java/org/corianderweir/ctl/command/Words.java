package org.corianderweir.ctl.command;

import java.util.List;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.ExitStatus;

/** Checks the words that follow a command. */
final class Words {
  private Words() {}

  static void check(List<String> words, String... meanings) {
    if (words.size() != meanings.length) {
      throw usage(
          "read " + words.size() + " words after the command",
          "write " + String.join(" ", meanings));
    }
  }

  static CommandException usage(String message, String nextStep) {
    return new CommandException(ExitStatus.USAGE, "usage", message, nextStep);
  }
}
