import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private Http() {}

  /**
   * A request or a response.
   *
   * @param start the first line
   * @param fields header fields as name and value
   */
  record Message(String start, List<String[]> fields, byte[] body) {
    Optional<String> field(String name) {
      return fields.stream()
          .filter(field -> field[0].equalsIgnoreCase(name))
          .map(field -> field[1])
          .findFirst();
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }
  }

  /** Reads a head; returns a message without its body, or null at the end of the stream. */
  static Message head(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    List<String[]> fields = new ArrayList<>();
    String next = line(in);
    while (next != null && !next.isEmpty()) {
      int colon = next.indexOf(':');
      fields.add(new String[] {next.substring(0, colon), next.substring(colon + 1).trim()});
      next = line(in);
    }
    if (next == null) {
      throw new EOFException("the head breaks off");
    }
    return new Message(start, fields, new byte[0]);
  }

  /** Reads a message with its body; returns null at the end of the stream. */
  static Message read(InputStream in) throws IOException {
    Message head = head(in);
    return head == null ? null : new Message(head.start(), head.fields(), body(head, in));
  }

  static byte[] body(Message head, InputStream in) throws IOException {
    if (head.field("Transfer-Encoding").isPresent()) {
      java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(require(line(in)).trim(), 16);
        body.write(exactly(in, size));
        require(line(in));
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    return exactly(in, head.field("Content-Length").map(Integer::parseInt).orElse(0));
  }

  private static byte[] exactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the body breaks off");
    }
    return bytes;
  }

  private static String require(String line) throws EOFException {
    if (line == null) {
      throw new EOFException("the body breaks off");
    }
    return line;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return line.length() == 0 ? null : require(null);
      }
      if (next == '\n') {
        return line.toString();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
