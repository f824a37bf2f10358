package org.corianderweir.http;

/** The elements of which the lines of HTTP messages consist (RFC 9110, section 5.6). */
final class HttpGrammar {
  private static final char DELETE = 127;
  private static final int LARGEST_BYTE = 255;
  private static final int LENGTH_DIGITS_LIMIT = 18;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private HttpGrammar() {}

  /** Returns whether a text is a token, as names and methods are. */
  static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(HttpGrammar::isTokenCharacter);
  }

  /** Returns whether a character may stand in a token. */
  static boolean isTokenCharacter(int character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || TOKEN_SYMBOLS.indexOf(character) >= 0;
  }

  /** Returns whether a character is a blank or a tab. */
  static boolean isWhiteSpace(int character) {
    return character == ' ' || character == '\t';
  }

  /** Returns whether a text is one value on one line, of characters that are one byte each. */
  static boolean isFieldValue(String text) {
    return text.chars().allMatch(character -> isVisible(character) || isWhiteSpace(character));
  }

  /** Returns whether a character is one byte, and neither a blank nor a control character. */
  static boolean isVisible(int character) {
    return character > ' ' && character != DELETE && character <= LARGEST_BYTE;
  }

  /** Returns whether a text consists of digits only. */
  static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.chars().allMatch(character -> character >= '0' && character <= '9');
  }

  /** Returns whether a text is a content length that is not too large for a long. */
  static boolean isLength(String text) {
    return text.length() <= LENGTH_DIGITS_LIMIT && isNumber(text);
  }

  /** Returns whether a field with a name tells where the body of its message ends. */
  static boolean isFramingField(String name) {
    return name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding");
  }

  /** Returns a field value without the white space around it, which is not a part of it. */
  static String withoutWhiteSpace(String text) {
    int start = 0;
    int end = text.length();
    while (start < end && isWhiteSpace(text.charAt(start))) {
      start++;
    }
    while (end > start && isWhiteSpace(text.charAt(end - 1))) {
      end--;
    }
    return text.substring(start, end);
  }
}
