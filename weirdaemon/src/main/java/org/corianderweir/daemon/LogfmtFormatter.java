package org.corianderweir.daemon;

import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** Formats a log record as one line of {@code name=value} pairs (logfmt). */
final class LogfmtFormatter extends Formatter {
  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder("time=").append(record.getInstant());
    line.append(" level=").append(level(record.getLevel()));
    String message = formatMessage(record);
    if (message.startsWith("event=")) {
      line.append(' ').append(message);
    } else {
      line.append(" logger=").append(record.getLoggerName());
      line.append(" message=\"").append(message.replace("\"", "'").replace("\n", " ")).append('"');
    }
    if (record.getThrown() != null) {
      String cause = String.valueOf(record.getThrown()).replace("\"", "'").replace("\n", " ");
      line.append(" cause=\"").append(cause).append('"');
    }
    return line.append(System.lineSeparator()).toString();
  }

  private static String level(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return "WARN";
    }
    return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
  }
}
