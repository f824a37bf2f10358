package org.corianderweir.model.request;

/** The reasons for which an entry instance refuses a request, with HTTP status and execution. */
public enum RefusalReason {
  /** The route needs a key and the request has none. */
  KEY_MISSING(401, Execution.NOT_RUN),
  /** The key is unknown, withdrawn or wrong. */
  KEY_REJECTED(401, Execution.NOT_RUN),
  /** The instance can't confirm that keys are still in force. */
  KEYS_STALE(503, Execution.NOT_RUN),
  /** No selector matches the request. */
  NO_ROUTE(404, Execution.NOT_RUN),
  /** The organisation may not use the route. */
  ROUTE_FORBIDDEN(403, Execution.NOT_RUN),
  /** The organisation has exceeded its rate and burst. */
  RATE_EXCEEDED(429, Execution.NOT_RUN),
  /** No backend server can take the request within its deadline. */
  NO_CAPACITY(503, Execution.NOT_RUN),
  /** The request was malformed. */
  REQUEST_INVALID(400, Execution.NOT_RUN),
  /** The identifier was not issued by an entry instance, or was issued for different content. */
  IDENTIFIER_INVALID(409, Execution.NOT_RUN),
  /** The body of the request exceeds the size limit. */
  BODY_TOO_LARGE(413, Execution.NOT_RUN),
  /** The instance has no configuration yet or is shutting down. */
  NOT_SERVING(503, Execution.NOT_RUN),
  /** No connection to a backend server could be opened. */
  BACKEND_UNREACHABLE(502, Execution.NOT_RUN),
  /** The answer of the backend server did not arrive completely. */
  ANSWER_LOST(502, Execution.UNKNOWN),
  /** An earlier request with the same identifier may have run; this instance can't find out. */
  OUTCOME_UNKNOWN(502, Execution.UNKNOWN),
  /** The deadline passed after the request had been sent to a backend server. */
  DEADLINE_EXCEEDED(504, Execution.UNKNOWN);

  private final int httpStatus;
  private final Execution execution;

  RefusalReason(int httpStatus, Execution execution) {
    this.httpStatus = httpStatus;
    this.execution = execution;
  }

  /** Returns the HTTP status. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the request may have run. */
  public Execution execution() {
    return execution;
  }

  /** Returns the code that is sent to callers: the name in lower case with hyphens. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
