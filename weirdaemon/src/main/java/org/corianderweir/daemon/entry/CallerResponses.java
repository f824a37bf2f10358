package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.Locale;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.NextStep;
import org.corianderweir.logic.traffic.RejectionReason;

/** The answers to callers that an entry instance creates itself. */
final class CallerResponses {
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_LARGE = 413;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;
  private static final double MILLISECONDS_PER_SECOND = 1000;

  private CallerResponses() {}

  /** Returns the answer that a request has not run and never will. */
  static HttpResponse rejection(RejectionReason reason, Duration retryAfter) {
    HttpResponse response = empty(status(reason));
    if (retryAfter.isZero()) {
      return response;
    }
    double seconds = Math.max(1, retryAfter.toMillis()) / MILLISECONDS_PER_SECOND;
    return response.withHeader("Retry-After", String.format(Locale.ROOT, "%.3f", seconds));
  }

  /** Returns the answer that a request may have run. */
  static HttpResponse failure(NextStep.Fail failure) {
    return empty(failure.deadlinePassed() ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY);
  }

  /** Returns the status of the answer to a rejected request. */
  static int status(RejectionReason reason) {
    return switch (reason) {
      case NO_ROUTE -> STATUS_NOT_FOUND;
      case KEY_UNKNOWN -> STATUS_UNAUTHORIZED;
      case BODY_TOO_LARGE -> STATUS_TOO_LARGE;
      case OVER_LIMIT -> STATUS_TOO_MANY_REQUESTS;
      case NOT_READY, NO_SERVER, SERVERS_PAUSE, NO_ROOM, TOO_LATE, STOPPING -> STATUS_UNAVAILABLE;
    };
  }

  private static HttpResponse empty(int status) {
    return new HttpResponse(status, HttpHeaders.NONE, new byte[0]);
  }
}
