package org.corianderweir.http;

import java.util.Optional;

/**
 * A complete HTTP request.
 *
 * @param method method as it was received; methods are case-sensitive
 * @param target path with the query, if any
 * @param headers header fields
 * @param body bytes of the body; empty if there is none
 * @param memory lease that holds the memory of the bodies of this request and of its responses, if
 *     it outlives the request
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(
    String method, String target, HttpHeaders headers, byte[] body, Optional<MemoryLease> memory) {
  private static final byte[] NO_BODY = new byte[0];

  /** Creates a request whose responses count against the budget of the client that sends it. */
  public HttpRequest(String method, String target, HttpHeaders headers, byte[] body) {
    this(method, target, headers, body, Optional.empty());
  }

  /** Returns a request without a body. */
  public static HttpRequest of(String method, String target) {
    return new HttpRequest(method, target, HttpHeaders.NONE, NO_BODY);
  }

  /** Returns the path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the value of a query parameter, or the fallback if it is absent. */
  public String parameter(String name, String fallback) {
    int query = target.indexOf('?');
    if (query < 0) {
      return fallback;
    }
    for (String pair : target.substring(query + 1).split("&")) {
      if (pair.startsWith(name + '=')) {
        String raw = pair.substring(name.length() + 1);
        return java.net.URLDecoder.decode(raw, java.nio.charset.StandardCharsets.UTF_8);
      }
    }
    return fallback;
  }

  /** Returns the body as UTF-8 text. */
  public String bodyText() {
    return new String(body, java.nio.charset.StandardCharsets.UTF_8);
  }
}
