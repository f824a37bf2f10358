package org.corianderweir.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Header fields that apply to a single connection or message and are not forwarded (RFC 9110,
 * section 7.6.1).
 */
public final class HopByHopHeaders {
  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          "host",
          "date",
          "server");

  private HopByHopHeaders() {}

  /** Returns the fields that may be forwarded. */
  public static HttpHeaders strip(HttpHeaders headers) {
    Set<String> connectionOptions = connectionOptions(headers);
    List<HttpHeader> kept = new ArrayList<>(headers.fields().size());
    for (HttpHeader field : headers.fields()) {
      String name = field.name().toLowerCase(Locale.ROOT);
      if (!NAMES.contains(name) && !connectionOptions.contains(name)) {
        kept.add(field);
      }
    }
    return new HttpHeaders(kept);
  }

  private static Set<String> connectionOptions(HttpHeaders headers) {
    if (headers.first("connection").isEmpty()) {
      return Set.of();
    }
    Set<String> names = new HashSet<>();
    for (HttpHeader field : headers.fields()) {
      if (field.name().equalsIgnoreCase("connection")) {
        for (String token : field.value().split(",")) {
          names.add(token.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    return names;
  }
}
