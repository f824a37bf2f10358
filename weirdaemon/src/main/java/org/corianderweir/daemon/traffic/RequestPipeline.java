package org.corianderweir.daemon.traffic;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.limits.AdmissionDeadline;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.steering.RouteMatch;
import org.corianderweir.model.request.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Passes a request through its stages: validation, routing, authorisation by key, deduplication by
 * identifier, rate limit, delivery. Each stage refuses the request or passes it to the next one.
 */
final class RequestPipeline {
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
  private static final Duration MAXIMUM_DEADLINE = Duration.ofSeconds(60);

  private final String instanceName;
  private final RateAdmission admission;
  private final KeyAuthoriser authoriser;
  private final RunOnceGate runOnceGate;
  private final Delivery delivery;
  private final Refusals refusals;
  private final TimeSource time;
  private final Meter requests;
  private final AtomicLong lastRequestNumber = new AtomicLong();

  RequestPipeline(
      String instanceName,
      RateAdmission admission,
      Supplier<KeyFreshnessView> keyFreshness,
      RunOnceGate runOnceGate,
      Delivery delivery,
      Refusals refusals,
      MetricRegistry metrics,
      TimeSource time) {
    this.instanceName = instanceName;
    this.admission = admission;
    authoriser = new KeyAuthoriser(keyFreshness);
    this.runOnceGate = runOnceGate;
    this.delivery = delivery;
    this.refusals = refusals;
    this.time = time;
    this.requests = metrics.meter("requests");
  }

  CompletableFuture<HttpResponse> handle(
      HttpRequest request, CallerConnection caller, TrafficSnapshot snapshot) {
    requests.mark();
    String name =
        request
            .headers()
            .first(CallerHeaders.REQUEST)
            .orElseGet(() -> instanceName + '-' + lastRequestNumber.incrementAndGet());
    Optional<RequestIdentifier> identifier =
        RetryPolicy.isIdempotent(request.method())
            ? Optional.empty()
            : RequestIdentifier.parse(name);
    Optional<String> problem = RequestValidator.findProblem(request);
    if (problem.isPresent()) {
      return refuse(name, identifier, RefusalReason.REQUEST_INVALID, problem.get());
    }
    boolean callerChosenIdentifier =
        !RetryPolicy.isIdempotent(request.method())
            && identifier.isEmpty()
            && request.headers().first(CallerHeaders.REQUEST).isPresent();
    if (callerChosenIdentifier) {
      return refuse(
          name,
          identifier,
          RefusalReason.IDENTIFIER_INVALID,
          "get an identifier from " + RunOnceGate.ISSUE_PATH);
    }
    return switch (snapshot.routes().match(request.path())) {
      case RouteMatch.NotFound notFound ->
          refuse(name, identifier, RefusalReason.NO_ROUTE, "no selector covers the path");
      case RouteMatch.Found found ->
          authorise(
              new RequestContext(
                  request,
                  caller,
                  snapshot,
                  found.selector(),
                  Optional.empty(),
                  name,
                  identifier,
                  deadlineNanoseconds(request)));
    };
  }

  private CompletableFuture<HttpResponse> authorise(RequestContext context) {
    if (!context.isWanted()) {
      return refusals.callerLeft(context.name());
    }
    KeyAuthoriser.Authorisation authorisation =
        authoriser.authorise(
            context.selector(),
            context.request().headers().first(CallerHeaders.KEY),
            context.snapshot().keys(),
            time.monotonicNanoseconds());
    return switch (authorisation) {
      case KeyAuthoriser.Authorisation.Accepted accepted ->
          runOnce(context.withOrganisation(accepted.organisation()));
      case KeyAuthoriser.Authorisation.Refused refused ->
          refuse(context, refused.reason(), refused.message());
    };
  }

  private CompletableFuture<HttpResponse> runOnce(RequestContext context) {
    return context.identifier().isPresent()
        ? runOnceGate.handle(context, context.identifier().get(), this::admit)
        : admit(context);
  }

  private CompletableFuture<HttpResponse> admit(RequestContext context) {
    if (context.organisation().isEmpty()) {
      return delivery.deliver(context);
    }
    long nowNanoseconds = time.monotonicNanoseconds();
    CompletableFuture<AdmissionDecision> decision =
        admission.admit(
            context.organisation().get(),
            AdmissionDeadline.of(context.deadlineNanoseconds(), nowNanoseconds),
            nowNanoseconds);
    return decision.isDone() && !decision.isCompletedExceptionally()
        ? deliverOrRefuse(context, decision.join())
        : awaitAdmission(context, decision);
  }

  /**
   * Delivers a request once its admission is decided. If the caller disconnects before that, the
   * request is not delivered; if it disconnects later, the delivery is cancelled.
   */
  private CompletableFuture<HttpResponse> awaitAdmission(
      RequestContext context, CompletableFuture<AdmissionDecision> pending) {
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    pending.whenComplete(
        (decision, failure) -> {
          if (result.isDone()) {
            return;
          }
          CompletableFuture<HttpResponse> delivered =
              failure == null
                  ? deliverOrRefuse(context, decision)
                  : CompletableFuture.failedFuture(failure);
          result.whenComplete((response, cancelled) -> delivered.cancel(false));
          delivered.whenComplete(
              (response, unused) -> result.complete(responseOrRefusal(context, response)));
        });
    return result;
  }

  private HttpResponse responseOrRefusal(RequestContext context, @Nullable HttpResponse response) {
    return response != null
        ? response
        : refusals.refuse(context.name(), RefusalReason.OUTCOME_UNKNOWN, "the request failed here");
  }

  private CompletableFuture<HttpResponse> deliverOrRefuse(
      RequestContext context, AdmissionDecision decision) {
    return switch (decision) {
      case AdmissionDecision.Admitted admitted -> delivery.deliver(context);
      case AdmissionDecision.Refused refused ->
          CompletableFuture.completedFuture(
              Refusals.withRetryAfter(
                  refusals.refuse(
                      context.name(),
                      RefusalReason.RATE_EXCEEDED,
                      "the organisation is over its rate"),
                  refused.retryAfterMilliseconds()));
    };
  }

  private CompletableFuture<HttpResponse> refuse(
      RequestContext context, RefusalReason reason, String message) {
    return refuse(context.name(), context.identifier(), reason, message);
  }

  /**
   * Refuses a request before it claims its identifier. The refusal says that the request may have
   * run if an earlier request with the same identifier may have run.
   */
  private CompletableFuture<HttpResponse> refuse(
      String name, Optional<RequestIdentifier> identifier, RefusalReason reason, String message) {
    return CompletableFuture.completedFuture(
        refusals.refuse(name, reason, runOnceGate.knownExecution(identifier), message));
  }

  private long deadlineNanoseconds(HttpRequest request) {
    return deadlineNanoseconds(
        request.headers().first(CallerHeaders.DEADLINE_MILLISECONDS).map(Long::parseLong),
        time.monotonicNanoseconds());
  }

  /** Returns the monotonic time at which a caller stops waiting. */
  static long deadlineNanoseconds(Optional<Long> milliseconds, long nowNanoseconds) {
    Duration requested = milliseconds.map(Duration::ofMillis).orElse(DEFAULT_DEADLINE);
    Duration limited = requested.compareTo(MAXIMUM_DEADLINE) > 0 ? MAXIMUM_DEADLINE : requested;
    return nowNanoseconds + limited.toNanos();
  }
}
