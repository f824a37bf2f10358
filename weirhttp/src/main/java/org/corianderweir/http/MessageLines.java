package org.corianderweir.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Collects the lines of a message, each of which ends with a carriage return and a line feed. A
 * line feed or carriage return alone is refused: parsers differ on whether it ends a line.
 */
final class MessageLines {
  private static final int LINE_BYTES = 64;

  private final int limitBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(LINE_BYTES);
  private int countedBytes;
  private boolean returned;

  /**
   * Creates an empty collection.
   *
   * @param limitBytes most bytes of lines until the count begins again
   */
  MessageLines(int limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Begins to count the bytes of lines again. */
  void restartCount() {
    countedBytes = 0;
  }

  /**
   * Returns the next line without its end, one character for each byte; null if its end has not
   * been received.
   */
  @Nullable String next(ByteBuffer bytes) throws MalformedResponseException {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      countedBytes++;
      if (countedBytes > limitBytes) {
        throw new MalformedResponseException("a head or a line of a body is above the size limit");
      }
      if (returned != (next == '\n')) {
        throw new MalformedResponseException("a line does not end with CRLF");
      }
      if (returned) {
        returned = false;
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        return text;
      }
      returned = next == '\r';
      if (!returned) {
        line.write(next);
      }
    }
    return null;
  }
}
