package org.corianderweir.daemon.entry;

/**
 * Builds the {@code name=value} fields of a log line. Every request writes two lines or more, and
 * {@link String#format} parses its pattern for each of them.
 */
final class LogFields {
  private static final int INITIAL_CHARACTERS = 256;

  private final StringBuilder text = new StringBuilder(INITIAL_CHARACTERS);

  LogFields add(String name, String value) {
    begin(name).append(value);
    return this;
  }

  LogFields add(String name, long value) {
    begin(name).append(value);
    return this;
  }

  LogFields add(String name, boolean value) {
    begin(name).append(value);
    return this;
  }

  /** Adds a number that is rounded to a number of decimal places, half away from zero. */
  LogFields add(String name, double value, int decimalPlaces) {
    begin(name);
    long scale = 1;
    for (int place = 0; place < decimalPlaces; place++) {
      scale *= 10;
    }
    long scaled = Math.round(Math.abs(value) * scale);
    if (!Double.isFinite(value) || scaled == Long.MAX_VALUE) {
      text.append(value);
      return this;
    }
    if (value < 0 && scaled > 0) {
      text.append('-');
    }
    text.append(scaled / scale).append('.');
    long fraction = scaled % scale;
    for (long place = scale / 10; place > 1 && fraction < place; place /= 10) {
      text.append('0');
    }
    text.append(fraction);
    return this;
  }

  private StringBuilder begin(String name) {
    if (!text.isEmpty()) {
      text.append(' ');
    }
    return text.append(name).append('=');
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
