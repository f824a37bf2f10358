package org.corianderweir.http;

import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer.
 *
 * @param status status code
 * @param headers header fields, without those that frame the body
 * @param body bytes of the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, HttpHeaders headers, byte[] body) {
  /** Returns an answer with a JSON body. */
  public static HttpResponse json(int status, String body) {
    HttpHeaders headers = HttpHeaders.NONE.with("Content-Type", "application/json");
    return new HttpResponse(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns this answer with one more header field. */
  public HttpResponse with(String name, String value) {
    return new HttpResponse(status, headers.with(name, value), body);
  }

  /** Returns this answer with the word that the connection is closed after it. */
  public HttpResponse withConnectionClose() {
    return with("Connection", "close");
  }

  /** Returns the body as UTF-8 text. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
