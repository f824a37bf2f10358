package org.corianderweir.http;

/** The responses that a listener gives by itself. */
final class ListenerResponses {
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_TOO_LARGE = 413;
  private static final int STATUS_INTERNAL_SERVER_ERROR = 500;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Seconds after which a caller may send a body again for which there was no memory. */
  private static final String RETRY_AFTER_SECONDS = "1";

  /** The bytes are not one clear HTTP request. */
  static final HttpResponse MALFORMED =
      new HttpResponse(STATUS_BAD_REQUEST, HttpHeaders.NONE, new byte[0]);

  static final HttpResponse TOO_LARGE =
      refusal(STATUS_TOO_LARGE, "body-too-large", "the body is above the limit");
  static final HttpResponse BAD_TARGET =
      refusal(STATUS_BAD_REQUEST, "bad-target", "the target has bytes that are not allowed");
  static final HttpResponse NO_MEMORY =
      refusal(STATUS_UNAVAILABLE, "no-memory", "too many bodies are being read")
          .withHeader("Retry-After", RETRY_AFTER_SECONDS);
  static final HttpResponse INTERNAL_ERROR =
      HttpResponse.json(STATUS_INTERNAL_SERVER_ERROR, "{\"code\":\"internal-error\"}");

  /** The request was read but not begun when the listener ended. */
  static final HttpResponse STOPPED =
      refusal(STATUS_UNAVAILABLE, "stopping", "the instance stops")
          .withHeader("Retry-After", RETRY_AFTER_SECONDS)
          .withConnectionClose();

  /** The request was being handled when the listener ended; it may have run. */
  static final HttpResponse ENDED =
      HttpResponse.json(STATUS_BAD_GATEWAY, "{\"code\":\"stopping\"}").withConnectionClose();

  private ListenerResponses() {}

  private static HttpResponse refusal(int status, String code, String message) {
    String text =
        "{\"code\":\"%s\",\"execution\":\"not-run\",\"message\":\"%s\"}".formatted(code, message);
    return HttpResponse.json(status, text)
        .withHeader("Weir-Refusal", code)
        .withHeader("Weir-Execution", "not-run");
  }
}
