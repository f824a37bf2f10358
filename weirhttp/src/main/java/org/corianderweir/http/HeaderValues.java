package org.corianderweir.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.http.util.DataChunk;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Passes the bytes of header fields on as they are, one character for each byte. */
final class HeaderValues {
  private static final char FIRST_NOT_ASCII = 128;

  private HeaderValues() {}

  /** Returns the bytes of a name, a value or a target as text. */
  static String text(DataChunk bytes) {
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    return text == null ? "" : text;
  }

  /** Returns all fields of a message in their order. */
  static List<HttpHeader> fields(MimeHeaders headers) {
    List<HttpHeader> fields = new ArrayList<>(headers.size());
    for (int index = 0; index < headers.size(); index++) {
      fields.add(new HttpHeader(text(headers.getName(index)), text(headers.getValue(index))));
    }
    return fields;
  }

  /** Adds a field. Grizzly replaces characters beyond ASCII in a text, but not in bytes. */
  static void add(MimeHeaders headers, String name, String value) {
    DataChunk chunk = headers.addValue(name);
    if (value.chars().allMatch(character -> character < FIRST_NOT_ASCII)) {
      chunk.setString(value);
    } else {
      byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
      chunk.setBytes(bytes, 0, bytes.length);
    }
  }
}
