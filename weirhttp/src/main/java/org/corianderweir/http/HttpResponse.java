package org.corianderweir.http;

import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status status code
 * @param headers header fields, without those that frame the body
 * @param body bytes of the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, HttpHeaders headers, byte[] body) {
  /** Returns a response with a JSON body. */
  public static HttpResponse json(int status, String body) {
    HttpHeaders headers = HttpHeaders.NONE.with("Content-Type", "application/json");
    return new HttpResponse(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns this response with one more header field. */
  public HttpResponse withHeader(String name, String value) {
    return new HttpResponse(status, headers.with(name, value), body);
  }

  /** Returns this response with {@code Connection: close}. */
  public HttpResponse withConnectionClose() {
    return withHeader("Connection", "close");
  }

  /** Returns the body as UTF-8 text. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
