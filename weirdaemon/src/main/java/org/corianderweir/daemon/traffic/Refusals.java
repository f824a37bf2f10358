package org.corianderweir.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.request.Execution;
import org.corianderweir.model.request.Refusal;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.protocol.Json;

/** Creates the HTTP responses of refusals, counts them and records them as events. */
final class Refusals {
  private static final String RETRY_AFTER_SECONDS = "1";
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private final String instanceName;
  private final EventLog events;
  private final MetricRegistry metrics;

  Refusals(String instanceName, EventLog events, MetricRegistry metrics) {
    this.instanceName = instanceName;
    this.events = events;
    this.metrics = metrics;
  }

  /** Refuses a request; the reason implies whether the request may have run. */
  HttpResponse refuse(String requestName, RefusalReason reason, String message) {
    return refuse(requestName, reason, reason.execution(), message);
  }

  /**
   * Refuses a request.
   *
   * @param execution whether the request may have run; can be less certain than the reason implies
   */
  HttpResponse refuse(
      String requestName, RefusalReason reason, Execution execution, String message) {
    metrics.meter("refusals." + reason.code()).mark();
    EventCode code =
        switch (execution) {
          case NOT_RUN -> EventCode.REQUEST_REFUSED;
          case UNKNOWN -> EventCode.REQUEST_UNKNOWN;
        };
    events.record(code, requestName, reason.code() + ": " + message);
    return buildResponse(reason, execution, message);
  }

  /** Records that a caller left before its request was delivered; nobody gets a response. */
  CompletableFuture<HttpResponse> callerLeft(String requestName) {
    metrics.meter("requests.abandoned").mark();
    events.record(EventCode.CALLER_LEFT, requestName, "may-have-run=false");
    return CompletableFuture.failedFuture(new CancellationException("the caller has left"));
  }

  private HttpResponse buildResponse(RefusalReason reason, Execution execution, String message) {
    HttpResponse response =
        HttpResponse.json(reason.httpStatus(), Json.write(Refusal.of(reason, execution, message)))
            .withHeader(CallerHeaders.REFUSAL, reason.code())
            .withHeader(CallerHeaders.EXECUTION, execution.text())
            .withHeader(CallerHeaders.ENTRY_INSTANCE, instanceName);
    boolean retryable =
        switch (reason) {
          case NO_CAPACITY, NOT_SERVING, KEYS_STALE, BACKEND_UNREACHABLE -> true;
          default -> false;
        };
    return retryable ? response.withHeader("Retry-After", RETRY_AFTER_SECONDS) : response;
  }

  /** Adds the delay after which a retry may be admitted, in whole seconds, rounded up. */
  static HttpResponse withRetryAfter(HttpResponse response, long milliseconds) {
    long seconds = Math.max(1, Math.ceilDiv(milliseconds, MILLISECONDS_PER_SECOND));
    return response.withHeader("Retry-After", Long.toString(seconds));
  }

  /** Returns whether a response states that the request did not run. */
  static boolean isNotRun(HttpResponse response) {
    return response
        .headers()
        .first(CallerHeaders.EXECUTION)
        .filter(Execution.NOT_RUN.text()::equals)
        .isPresent();
  }
}
