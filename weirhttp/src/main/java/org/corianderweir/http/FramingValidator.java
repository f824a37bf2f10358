package org.corianderweir.http;

import java.util.Locale;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Refuses messages whose end two parsers could find at different places (RFC 9112, sections 6.1,
 * 6.3 and 11.2). This prevents request smuggling.
 */
final class FramingValidator {
  private FramingValidator() {}

  /**
   * Checks the header fields of a message once all of them were read.
   *
   * @throws HttpBrokenContentException if the header fields are not valid
   */
  static void requireValidHeaders(MimeHeaders headers) {
    Optional<String> problem = findProblem(headers);
    if (problem.isPresent()) {
      throw new HttpBrokenContentException(problem.get());
    }
  }

  /**
   * Checks after each field name whether the name makes the end of the message ambiguous.
   *
   * @param complete whether the name was read completely
   * @throws HttpBrokenContentException if the end of the message is ambiguous
   */
  static void requireUnambiguousLength(boolean complete, MimeHeaders headers) {
    if (complete && isLengthAmbiguous(headers)) {
      throw new HttpBrokenContentException("the end of the message is ambiguous");
    }
  }

  /**
   * Returns whether the field whose name was read last makes the end of the message ambiguous. This
   * is checked for each name, because the codec discards a content length when it reads a transfer
   * encoding.
   */
  static boolean isLengthAmbiguous(MimeHeaders headers) {
    int last = headers.size() - 1;
    if (last < 0 || !HttpGrammar.isFramingField(headers.getName(last).toString())) {
      return false;
    }
    for (int index = 0; index < last; index++) {
      if (HttpGrammar.isFramingField(headers.getName(index).toString())) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first problem of the header fields of a message, or empty if they are valid. */
  static Optional<String> findProblem(MimeHeaders headers) {
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    for (int index = 0; index < headers.size(); index++) {
      String name = headers.getName(index).toString();
      String value = headers.getValue(index).toString();
      if (!HttpGrammar.isToken(name) || hasControlCharacter(value)) {
        return Optional.of("a header field has characters that are not allowed");
      }
      switch (name.toLowerCase(Locale.ROOT)) {
        case "content-length" -> {
          lengths++;
          if (!HttpGrammar.isLength(value)) {
            return Optional.of("the content length is not a number");
          }
        }
        case "transfer-encoding" -> {
          encodings++;
          if (!value.trim().equalsIgnoreCase("chunked")) {
            return Optional.of("the transfer encoding is not chunked");
          }
        }
        case "host" -> hosts++;
        default -> {
          // Other fields affect neither the framing nor the routing of a message.
        }
      }
    }
    boolean ambiguous = lengths + encodings > 1 || hosts > 1;
    return ambiguous ? Optional.of("the end of the message is ambiguous") : Optional.empty();
  }

  private static boolean hasControlCharacter(String value) {
    return value.chars().anyMatch(character -> character < ' ' && character != '\t');
  }
}
