package org.corianderweir.logic.delivery;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

/**
 * An identifier that makes repeating a request idempotent: requests with the same identifier run at
 * most once. It names the only process that may let the request run.
 *
 * @param instance name of the entry instance that issued it
 * @param incarnation incarnation of that instance
 * @param number sequence number, which grows with each identifier that the incarnation issues
 * @param expiresMilliseconds when it expires, in milliseconds of the issuer's own monotonic clock
 *     since the issuer's start
 * @param authenticationCode message authentication code of the other components, in Base64
 */
public record RequestIdentifier(
    String instance,
    long incarnation,
    long number,
    long expiresMilliseconds,
    String authenticationCode) {
  private static final String VERSION = "weir1";
  private static final int PART_COUNT = 6;
  private static final int RADIX = 36;
  private static final int MAXIMUM_LENGTH_CHARACTERS = 512;
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

  /**
   * Parses an identifier; returns empty if the text is not in the form that {@link #text()}
   * returns.
   */
  public static Optional<RequestIdentifier> parse(String text) {
    if (text.length() > MAXIMUM_LENGTH_CHARACTERS || !text.startsWith(VERSION + '.')) {
      return Optional.empty();
    }
    String[] parts = text.split("\\.", -1);
    if (parts.length != PART_COUNT) {
      return Optional.empty();
    }
    try {
      RequestIdentifier identifier =
          new RequestIdentifier(
              new String(DECODER.decode(parts[1]), StandardCharsets.UTF_8),
              Long.parseLong(parts[2], RADIX),
              Long.parseLong(parts[3], RADIX),
              Long.parseLong(parts[4], RADIX),
              parts[5]);
      return Optional.of(identifier).filter(parsed -> parsed.text().equals(text));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  /** Returns the text that callers send. */
  public String text() {
    return signedText() + '.' + authenticationCode;
  }

  /** Returns the part that the authentication code covers. */
  String signedText() {
    return String.join(
        ".",
        VERSION,
        ENCODER.encodeToString(instance.getBytes(StandardCharsets.UTF_8)),
        Long.toString(incarnation, RADIX),
        Long.toString(number, RADIX),
        Long.toString(expiresMilliseconds, RADIX));
  }
}
