package org.corianderweir.bench.soak;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.corianderweir.platform.PlatformHeaders;

/**
 * A request of a caller of the soak.
 *
 * @param identifier identifier of the request, which decides the content of its bodies
 * @param kind route of the request
 * @param bodyBytes length of the large body, which an upload sends and an export receives
 * @param limited whether it belongs to the organisation with a small rate limit
 */
record SoakRequest(String identifier, Kind kind, int bodyBytes, boolean limited) {
  static final int DEADLINE_MILLISECONDS = 2_500;

  /** Length of the text that repeats in large bodies; shorter ones don't show a shift of bytes. */
  private static final int PATTERN_NUMBERS = 97;

  /** The routes of the soak. */
  enum Kind {
    /** A safe request. */
    READ("GET", true),
    /** A request that may run once. */
    BOOK("POST", false),
    /** A request with a large body that may run once. */
    UPLOAD("POST", false),
    /** A request with a large response that may run again. */
    EXPORT("GET", true);

    private final String method;
    private final boolean idempotent;

    Kind(String method, boolean idempotent) {
      this.method = method;
      this.idempotent = idempotent;
    }

    /** Returns the prefix of the paths of the route. */
    String pathPrefix() {
      return "/" + name().toLowerCase(Locale.ROOT) + "/";
    }
  }

  /** Returns a request without a large body. */
  static SoakRequest small(String identifier, Kind kind) {
    return new SoakRequest(identifier, kind, 0, false);
  }

  /** Returns the same request of the organisation with a small rate limit. */
  SoakRequest asLimited() {
    return new SoakRequest(identifier, kind, bodyBytes, true);
  }

  /** Returns the request that a server received. */
  static SoakRequest received(String identifier, String path) {
    String[] parts = path.split("/");
    Kind kind = Kind.valueOf(parts[1].toUpperCase(Locale.ROOT));
    return new SoakRequest(identifier, kind, Integer.parseInt(parts[2]), false);
  }

  boolean idempotent() {
    return kind.idempotent;
  }

  /** Returns the body that callers send. */
  byte[] body() {
    return kind == Kind.UPLOAD ? content() : new byte[0];
  }

  /** Returns the body of the answer of a server that ran the request. */
  byte[] answer() {
    return kind == Kind.EXPORT ? content() : ("ran " + identifier).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the bytes of the request as they are sent. */
  byte[] encoded() {
    byte[] body = body();
    String head =
        kind.method
            + " "
            + kind.pathPrefix()
            + bodyBytes
            + " HTTP/1.1\r\nHost: rota.example\r\nContent-Length: "
            + body.length
            + "\r\n"
            + PlatformHeaders.NAMES.accessKey()
            + (limited ? ": key-2\r\n" : ": key-1\r\n")
            + PlatformHeaders.NAMES.deadlineMilliseconds()
            + ": "
            + DEADLINE_MILLISECONDS
            + "\r\n"
            + PlatformHeaders.NAMES.requestIdentifier()
            + ": "
            + identifier
            + "\r\n\r\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(head.length() + body.length);
    bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  /** Returns bytes that differ between requests and between places in the body. */
  private byte[] content() {
    StringBuilder pattern = new StringBuilder();
    for (int number = 0; number < PATTERN_NUMBERS; number++) {
      pattern.append(identifier).append(':').append(number).append('\n');
    }
    byte[] repeated = pattern.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes = new byte[bodyBytes];
    for (int index = 0; index < bytes.length; index++) {
      bytes[index] = repeated[index % repeated.length];
    }
    return bytes;
  }
}
