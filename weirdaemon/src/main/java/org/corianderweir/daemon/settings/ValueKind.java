package org.corianderweir.daemon.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The kinds of values that settings have.
 *
 * @param <T> type of the value in the program
 */
public sealed interface ValueKind<T> {
  /** Reads a value; empty if the text is not allowed. */
  Optional<T> parse(String text);

  /** Says which texts are allowed. */
  String allowed();

  /** A name of letters, digits, dots, underscores and hyphens. */
  record Name() implements ValueKind<String> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    @Override
    public Optional<String> parse(String text) {
      return PATTERN.matcher(text).matches() ? Optional.of(text) : Optional.empty();
    }

    @Override
    public String allowed() {
      return "1 to 64 letters, digits, dots, underscores or hyphens";
    }
  }

  /**
   * A secret text.
   *
   * @param minimumLength least number of characters
   */
  record Secret(int minimumLength) implements ValueKind<String> {
    @Override
    public Optional<String> parse(String text) {
      return text.length() >= minimumLength ? Optional.of(text) : Optional.empty();
    }

    @Override
    public String allowed() {
      return "a text of at least " + minimumLength + " characters";
    }
  }

  /** An IP number. */
  record IpNumber() implements ValueKind<String> {
    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final Pattern PATTERN =
        Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|[0-9A-Fa-f]*:[0-9A-Fa-f:.]*");

    @Override
    public Optional<String> parse(String text) {
      return PATTERN.matcher(text).matches() ? Optional.of(text) : Optional.empty();
    }

    @Override
    public String allowed() {
      return "an IP number such as 10.1.2.3; host names are not looked up";
    }
  }

  /**
   * A whole number.
   *
   * @param minimum least value
   * @param maximum largest value
   */
  record WholeNumber(int minimum, int maximum) implements ValueKind<Integer> {
    @Override
    public Optional<Integer> parse(String text) {
      try {
        int value = Integer.parseInt(text);
        return value >= minimum && value <= maximum ? Optional.of(value) : Optional.empty();
      } catch (NumberFormatException notANumber) {
        return Optional.empty();
      }
    }

    @Override
    public String allowed() {
      return "a whole number from " + minimum + " to " + maximum;
    }
  }

  /**
   * A time in milliseconds.
   *
   * @param minimumMilliseconds shortest time
   * @param maximumMilliseconds longest time
   */
  record Milliseconds(int minimumMilliseconds, int maximumMilliseconds)
      implements ValueKind<Duration> {
    @Override
    public Optional<Duration> parse(String text) {
      return new WholeNumber(minimumMilliseconds, maximumMilliseconds)
          .parse(text)
          .map(Duration::ofMillis);
    }

    @Override
    public String allowed() {
      return "milliseconds from " + minimumMilliseconds + " to " + maximumMilliseconds;
    }
  }
}
