package org.corianderweir.http;

/**
 * Reads the line before a chunk (RFC 9112, section 7.1): its size and extensions, which have no
 * meaning here. A line that is cut off or not the start of a chunk must not be taken for the end of
 * the body, so the whole line has to be valid.
 */
final class ChunkSizeLine {
  private static final int RADIX = 16;

  /** The largest number of digits that can't exceed a long. */
  private static final int DIGITS_LIMIT = 15;

  private final String line;
  private int position;

  private ChunkSizeLine(String line) {
    this.line = line;
  }

  /** Returns the size of the chunk in bytes; zero for the last one. */
  static long parse(String line) throws MalformedResponseException {
    return new ChunkSizeLine(line).parse();
  }

  private long parse() throws MalformedResponseException {
    long size = 0;
    while (position < line.length() && digit() >= 0) {
      size = size * RADIX + digit();
      position++;
    }
    if (position == 0 || position > DIGITS_LIMIT) {
      throw new MalformedResponseException("a chunk has no valid size");
    }
    while (position < line.length()) {
      parseExtension();
    }
    return size;
  }

  private int digit() {
    return Character.digit(line.charAt(position), RADIX);
  }

  private void parseExtension() throws MalformedResponseException {
    skipWhiteSpace();
    requireNext(';');
    skipWhiteSpace();
    skipToken();
    int end = position;
    skipWhiteSpace();
    if (!isNext('=')) {
      position = end;
      return;
    }
    position++;
    skipWhiteSpace();
    if (isNext('"')) {
      skipQuotedText();
    } else {
      skipToken();
    }
  }

  private void skipQuotedText() throws MalformedResponseException {
    requireNext('"');
    while (!isNext('"')) {
      position += isNext('\\') ? 2 : 1;
      if (position >= line.length()) {
        throw new MalformedResponseException("a chunk extension does not end");
      }
    }
    position++;
  }

  private void skipToken() throws MalformedResponseException {
    int start = position;
    while (position < line.length() && HttpGrammar.isTokenCharacter(line.charAt(position))) {
      position++;
    }
    if (position == start) {
      throw new MalformedResponseException("a chunk extension has no name or value");
    }
  }

  private void skipWhiteSpace() {
    while (position < line.length() && HttpGrammar.isWhiteSpace(line.charAt(position))) {
      position++;
    }
  }

  private boolean isNext(char expected) {
    return position < line.length() && line.charAt(position) == expected;
  }

  private void requireNext(char expected) throws MalformedResponseException {
    if (!isNext(expected)) {
      throw new MalformedResponseException("bytes that are no extension follow a chunk size");
    }
    position++;
  }
}
