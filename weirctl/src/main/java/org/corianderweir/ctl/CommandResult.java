package org.corianderweir.ctl;

import java.util.List;
import java.util.Optional;
import org.corianderweir.protocol.Json;

/**
 * The result of a command in both output formats.
 *
 * @param jsonValue value to print as JSON
 * @param textLines lines to print as text
 * @param failure what did not succeed although there is a result; reported after the result
 */
public record CommandResult(
    Object jsonValue, List<String> textLines, Optional<CommandException> failure) {
  /** Copies the list. */
  public CommandResult {
    textLines = List.copyOf(textLines);
  }

  /** Creates the result of a command that succeeded. */
  public CommandResult(Object jsonValue, List<String> textLines) {
    this(jsonValue, textLines, Optional.empty());
  }

  /** Returns a result whose text is one line. */
  public static CommandResult ofLine(Object value, String line) {
    return new CommandResult(value, List.of(line));
  }

  /** Returns the result as text in an output format. */
  public String format(OutputFormat format) {
    return switch (format) {
      case TEXT -> String.join(System.lineSeparator(), textLines);
      case JSON -> Json.writeIndented(jsonValue);
    };
  }
}
