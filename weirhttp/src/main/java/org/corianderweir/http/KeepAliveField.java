package org.corianderweir.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The field {@code Keep-Alive} of a response (RFC 2068, section 19.7.1.1). */
final class KeepAliveField {
  private static final String NAME = "Keep-Alive";
  private static final Pattern TIMEOUT =
      Pattern.compile(
          "(?:^|[,;\\s])timeout\\s*=\\s*([0-9]{1,6})(?:$|[,;\\s])", Pattern.CASE_INSENSITIVE);

  /**
   * Time before the announced end at which a connection is used for the last time. The server
   * counts from its own response, and a request takes time to arrive.
   */
  private static final Duration MARGIN = Duration.ofSeconds(1);

  /** A connection is not kept longer, whatever a server announces. */
  private static final Duration LONGEST_LIFETIME = Duration.ofSeconds(30);

  private KeepAliveField() {}

  /**
   * Returns how long a connection may be idle and still be used, according to the server; empty if
   * the response does not say so.
   */
  static Optional<Duration> idleLifetime(HttpHeaders headers) {
    List<String> values = headers.all(NAME);
    if (values.size() != 1) {
      return Optional.empty();
    }
    Matcher timeout = TIMEOUT.matcher(values.getFirst());
    if (!timeout.find()) {
      return Optional.empty();
    }
    Duration announced = Duration.ofSeconds(Long.parseLong(timeout.group(1)));
    Duration withMargin = longer(announced.minus(MARGIN), announced.dividedBy(2));
    return Optional.of(withMargin.compareTo(LONGEST_LIFETIME) < 0 ? withMargin : LONGEST_LIFETIME);
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
