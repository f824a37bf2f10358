package org.corianderweir.http;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes requests in the form in which servers read them (RFC 9112, section 3). */
final class RequestEncoder {
  private static final int HEAD_BYTES = 512;
  private static final String LINE_END = "\r\n";

  private RequestEncoder() {}

  /**
   * Returns the bytes of a request; the body is not copied. Its length is the only framing that is
   * written.
   *
   * @param defaultHost value of the field {@code Host} for a request that has none
   * @throws IllegalArgumentException if a part of the head would be read as something else
   */
  static Buffer encode(HttpRequest request, String defaultHost) {
    requireValid(HttpGrammar.isToken(request.method()), "the method is not a token");
    requireValid(isTarget(request.target()), "the target has characters that are not allowed");
    StringBuilder head = new StringBuilder(HEAD_BYTES);
    head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1");
    head.append(LINE_END);
    append(head, "Host", request.headers().first("Host").orElse(defaultHost));
    for (HttpHeader field : request.headers().fields()) {
      if (!field.name().equalsIgnoreCase("Host") && !HttpGrammar.isFramingField(field.name())) {
        append(head, field.name(), field.value());
      }
    }
    append(head, "Content-Length", Integer.toString(request.body().length));
    head.append(LINE_END);
    MemoryManager<?> memory = MemoryManager.DEFAULT_MEMORY_MANAGER;
    Buffer headBytes = Buffers.wrap(memory, head.toString().getBytes(StandardCharsets.ISO_8859_1));
    return request.body().length == 0
        ? headBytes
        : Buffers.appendBuffers(memory, headBytes, Buffers.wrap(memory, request.body()));
  }

  private static void append(StringBuilder head, String name, String value) {
    requireValid(HttpGrammar.isToken(name), "the name of a field is not a token");
    requireValid(HttpGrammar.isFieldValue(value), "a field has characters that are not allowed");
    head.append(name).append(": ").append(value).append(LINE_END);
  }

  private static boolean isTarget(String target) {
    return !target.isEmpty() && target.chars().allMatch(HttpGrammar::isVisible);
  }

  private static void requireValid(boolean valid, String problem) {
    if (!valid) {
      throw new IllegalArgumentException(problem);
    }
  }
}
