package org.corianderweir.daemon.settings;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.corianderweir.http.HttpAddress;

/**
 * A type of setting values, which parses and validates their text.
 *
 * @param <T> type of the value in the program
 */
public sealed interface SettingType<T> {
  /** Parses a value; returns empty if the text is not allowed. */
  Optional<T> parse(String text);

  /** Returns a description of the allowed texts, for error messages and the documentation. */
  String describeAllowed();

  /** A name of 1 to 64 letters, digits, dots, underscores and hyphens. */
  record Name() implements SettingType<String> {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    @Override
    public Optional<String> parse(String text) {
      return PATTERN.matcher(text).matches() ? Optional.of(text) : Optional.empty();
    }

    @Override
    public String describeAllowed() {
      return "1 to 64 letters, digits, dots, underscores or hyphens";
    }
  }

  /**
   * A secret, which is never repeated in error messages.
   *
   * @param minimumLength least number of characters
   */
  record Secret(int minimumLength) implements SettingType<String> {
    @Override
    public Optional<String> parse(String text) {
      return text.length() >= minimumLength ? Optional.of(text) : Optional.empty();
    }

    @Override
    public String describeAllowed() {
      return "a text of at least " + minimumLength + " characters";
    }
  }

  /** An IPv4 or IPv6 address; host names are not resolved. */
  record IpAddress() implements SettingType<String> {
    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final Pattern PATTERN =
        Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|[0-9A-Fa-f]*:[0-9A-Fa-f:.]*");

    @Override
    public Optional<String> parse(String text) {
      return PATTERN.matcher(text).matches() ? Optional.of(text) : Optional.empty();
    }

    @Override
    public String describeAllowed() {
      return "an IP number such as 10.1.2.3; host names are not looked up";
    }
  }

  /**
   * A whole number.
   *
   * @param minimum least value
   * @param maximum largest value
   */
  record WholeNumber(int minimum, int maximum) implements SettingType<Integer> {
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
    public String describeAllowed() {
      return "a whole number from " + minimum + " to " + maximum;
    }
  }

  /**
   * A duration in milliseconds.
   *
   * @param minimumMilliseconds shortest duration
   * @param maximumMilliseconds longest duration
   */
  record Milliseconds(int minimumMilliseconds, int maximumMilliseconds)
      implements SettingType<Duration> {
    @Override
    public Optional<Duration> parse(String text) {
      return new WholeNumber(minimumMilliseconds, maximumMilliseconds)
          .parse(text)
          .map(Duration::ofMillis);
    }

    @Override
    public String describeAllowed() {
      return "milliseconds from " + minimumMilliseconds + " to " + maximumMilliseconds;
    }
  }

  /**
   * A duration in seconds, which may have a fraction.
   *
   * @param longest longest duration
   */
  record Seconds(Duration longest) implements SettingType<Duration> {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double SHORTEST = 0.001;

    @Override
    public Optional<Duration> parse(String text) {
      return new Decimal(SHORTEST, longest.toSeconds())
          .parse(text)
          .map(seconds -> Duration.ofMillis(Math.round(seconds * MILLISECONDS_PER_SECOND)));
    }

    @Override
    public String describeAllowed() {
      return "seconds from "
          + SHORTEST
          + " to "
          + longest.toSeconds()
          + ", with or without a fraction";
    }
  }

  /** An IP address and a TCP port, separated by a colon. */
  record SocketAddress() implements SettingType<HttpAddress> {
    private static final WholeNumber PORT = new WholeNumber(1, 65_535);

    @Override
    public Optional<HttpAddress> parse(String text) {
      int colon = text.lastIndexOf(':');
      if (colon < 0) {
        return Optional.empty();
      }
      Optional<String> host = new IpAddress().parse(text.substring(0, colon));
      return host.flatMap(
          address ->
              PORT.parse(text.substring(colon + 1)).map(port -> new HttpAddress(address, port)));
    }

    @Override
    public String describeAllowed() {
      return "an IP number and a port such as 10.1.2.3:8080";
    }
  }

  /** Pairs of names, separated by commas; a slash separates the two names of a pair. */
  record NamePairs() implements SettingType<Map<String, String>> {
    @Override
    public Optional<Map<String, String>> parse(String text) {
      Map<String, String> pairs = new LinkedHashMap<>();
      for (String pair : text.split(",")) {
        int separator = pair.indexOf('/');
        if (separator <= 0 || separator == pair.length() - 1) {
          return Optional.empty();
        }
        pairs.put(pair.substring(0, separator).trim(), pair.substring(separator + 1).trim());
      }
      return Optional.of(pairs);
    }

    @Override
    public String describeAllowed() {
      return "pairs such as lagos-ikeja/lagos,kano-fagge/kano";
    }
  }

  /**
   * A decimal number.
   *
   * @param minimum least value
   * @param maximum largest value
   */
  record Decimal(double minimum, double maximum) implements SettingType<Double> {
    @Override
    public Optional<Double> parse(String text) {
      try {
        double value = Double.parseDouble(text);
        return value >= minimum && value <= maximum ? Optional.of(value) : Optional.empty();
      } catch (NumberFormatException notANumber) {
        return Optional.empty();
      }
    }

    @Override
    public String describeAllowed() {
      return "a number from " + minimum + " to " + maximum;
    }
  }
}
