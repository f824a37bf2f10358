package org.corianderweir.daemon;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** Formats a log record as one line of {@code name=value} pairs (logfmt). */
final class LogfmtFormatter extends Formatter {
  private static final int NANOSECONDS_PER_MICROSECOND = 1_000;
  private static final int NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private volatile SecondText latestSecond = SecondText.of(0);

  /** The text of a second without the Z that ends it, which the lines of the second share. */
  private record SecondText(long epochSecond, String text) {
    static SecondText of(long epochSecond) {
      String text = Instant.ofEpochSecond(epochSecond).toString();
      return new SecondText(epochSecond, text.substring(0, text.length() - 1));
    }
  }

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder("time=");
    appendTime(line, record.getInstant());
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

  /** Appends a time as {@link Instant#toString} does, which formats all of its fields each time. */
  private void appendTime(StringBuilder line, Instant time) {
    SecondText second = latestSecond;
    if (second.epochSecond() != time.getEpochSecond()) {
      second = SecondText.of(time.getEpochSecond());
      latestSecond = second;
    }
    line.append(second.text());
    int nanoseconds = time.getNano();
    if (nanoseconds % NANOSECONDS_PER_MILLISECOND == 0) {
      appendFraction(line, nanoseconds / NANOSECONDS_PER_MILLISECOND, 3);
    } else if (nanoseconds % NANOSECONDS_PER_MICROSECOND == 0) {
      appendFraction(line, nanoseconds / NANOSECONDS_PER_MICROSECOND, 6);
    } else {
      appendFraction(line, nanoseconds, 9);
    }
    line.append('Z');
  }

  private static void appendFraction(StringBuilder line, int fraction, int digits) {
    if (fraction > 0) {
      String text = Integer.toString(fraction);
      line.append('.').repeat('0', digits - text.length()).append(text);
    }
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
