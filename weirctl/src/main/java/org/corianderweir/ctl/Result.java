package org.corianderweir.ctl;

import java.util.List;
import org.corianderweir.protocol.Json;

/**
 * The result of a command in both formats.
 *
 * @param value value that is printed as JSON
 * @param lines lines that are printed as text
 */
public record Result(Object value, List<String> lines) {
  /** Copies the list. */
  public Result {
    lines = List.copyOf(lines);
  }

  /** Returns a result whose text is one line. */
  public static Result line(Object value, String line) {
    return new Result(value, List.of(line));
  }

  /** Returns the text to print. */
  public String print(OutputFormat format) {
    return switch (format) {
      case TEXT -> String.join(System.lineSeparator(), lines);
      case JSON -> Json.writeIndented(value);
    };
  }
}
