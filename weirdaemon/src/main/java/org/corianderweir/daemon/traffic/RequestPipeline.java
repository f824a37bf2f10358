package org.corianderweir.daemon.traffic;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.logic.keys.KeyDecision;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.limits.AdmissionDeadline;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.steering.RouteDecision;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.request.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Takes one request through its stages: form, route, key, identifier, rate, delivery. Each stage
 * either refuses or hands the request on.
 */
final class RequestPipeline {
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
  private static final Duration DEADLINE_LIMIT = Duration.ofSeconds(60);

  private final String instanceName;
  private final RateAdmission admission;
  private final Supplier<KeyFreshnessView> keyFreshness;
  private final RunOnceGate gate;
  private final Delivery delivery;
  private final Refusals refusals;
  private final TimeSource time;
  private final Meter requests;
  private final AtomicLong lastNumber = new AtomicLong();

  RequestPipeline(
      String instanceName,
      RateAdmission admission,
      Supplier<KeyFreshnessView> keyFreshness,
      RunOnceGate gate,
      Delivery delivery,
      Refusals refusals,
      MetricRegistry metrics,
      TimeSource time) {
    this.instanceName = instanceName;
    this.admission = admission;
    this.keyFreshness = keyFreshness;
    this.gate = gate;
    this.delivery = delivery;
    this.refusals = refusals;
    this.time = time;
    this.requests = metrics.meter("requests");
  }

  CompletableFuture<HttpReply> answer(HttpCall call, TrafficSnapshot snapshot) {
    requests.mark();
    String name =
        call.headers()
            .first(CallerHeaders.REQUEST)
            .orElseGet(() -> instanceName + '-' + lastNumber.incrementAndGet());
    Optional<RequestIdentifier> identifier =
        RetryPolicy.isIdempotent(call.method()) ? Optional.empty() : RequestIdentifier.parse(name);
    Optional<String> fault = FormCheck.fault(call);
    if (fault.isPresent()) {
      return refuse(name, identifier, RefusalReason.REQUEST_INVALID, fault.get());
    }
    boolean ownIdentifier =
        !RetryPolicy.isIdempotent(call.method())
            && identifier.isEmpty()
            && call.headers().first(CallerHeaders.REQUEST).isPresent();
    if (ownIdentifier) {
      return refuse(
          name,
          identifier,
          RefusalReason.IDENTIFIER_INVALID,
          "get an identifier from " + RunOnceGate.ISSUE_PATH);
    }
    return switch (snapshot.routes().find(call.path())) {
      case RouteDecision.NotFound notFound ->
          refuse(name, identifier, RefusalReason.NO_ROUTE, "no selector covers the path");
      case RouteDecision.Found found ->
          authorise(
              new RequestContext(
                  call,
                  snapshot,
                  found.selector(),
                  Optional.empty(),
                  name,
                  identifier,
                  deadlineNanoseconds(call)));
    };
  }

  private CompletableFuture<HttpReply> authorise(RequestContext context) {
    Selector selector = context.selector();
    if (selector.open()) {
      return runOnce(context);
    }
    Optional<String> key = context.call().headers().first(CallerHeaders.KEY);
    if (key.isEmpty()) {
      return refuse(context, RefusalReason.KEY_MISSING, "the route needs a key");
    }
    return switch (context.snapshot().keys().check(key.get())) {
      case KeyDecision.Rejected rejected ->
          refuse(context, RefusalReason.KEY_REJECTED, "the key is not in force");
      case KeyDecision.Accepted accepted -> authorise(context, accepted.organisation());
    };
  }

  private CompletableFuture<HttpReply> authorise(RequestContext context, String organisation) {
    List<String> allowed = context.selector().organisations();
    if (!allowed.isEmpty() && !allowed.contains(organisation)) {
      return refuse(context, RefusalReason.ROUTE_FORBIDDEN, "not for this organisation");
    }
    if (!keyFreshness.get().allows(organisation, time.monotonicNanoseconds())) {
      return refuse(context, RefusalReason.KEYS_STALE, "the keys can't be confirmed");
    }
    return runOnce(context.withOrganisation(organisation));
  }

  private CompletableFuture<HttpReply> runOnce(RequestContext context) {
    return context.identifier().isPresent()
        ? gate.answer(context, context.identifier().get(), this::admit)
        : admit(context);
  }

  private CompletableFuture<HttpReply> admit(RequestContext context) {
    if (context.organisation().isEmpty()) {
      return delivery.deliver(context);
    }
    long now = time.monotonicNanoseconds();
    CompletableFuture<AdmissionDecision> decision =
        admission.admit(
            context.organisation().get(),
            AdmissionDeadline.of(context.deadlineNanoseconds(), now),
            now);
    return decision.isDone() && !decision.isCompletedExceptionally()
        ? admitted(context, decision.join())
        : awaitAdmission(context, decision);
  }

  /** Whoever goes away while waiting is not delivered; later, the delivery is cancelled. */
  private CompletableFuture<HttpReply> awaitAdmission(
      RequestContext context, CompletableFuture<AdmissionDecision> pending) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    pending.whenComplete(
        (decision, failure) -> {
          if (result.isDone()) {
            return;
          }
          CompletableFuture<HttpReply> delivered =
              failure == null
                  ? admitted(context, decision)
                  : CompletableFuture.failedFuture(failure);
          result.whenComplete((reply, cancelled) -> delivered.cancel(false));
          delivered.whenComplete((reply, lost) -> result.complete(replyOrRefusal(context, reply)));
        });
    return result;
  }

  private HttpReply replyOrRefusal(RequestContext context, @Nullable HttpReply reply) {
    return reply != null
        ? reply
        : refusals.refuse(context.name(), RefusalReason.OUTCOME_UNKNOWN, "the request failed here");
  }

  private CompletableFuture<HttpReply> admitted(
      RequestContext context, AdmissionDecision decision) {
    return switch (decision) {
      case AdmissionDecision.Admitted admitted -> delivery.deliver(context);
      case AdmissionDecision.Refused refused ->
          CompletableFuture.completedFuture(
              Refusals.retryAfter(
                  refusals.refuse(
                      context.name(),
                      RefusalReason.RATE_EXCEEDED,
                      "the organisation is over its rate"),
                  refused.retryAfterMilliseconds()));
    };
  }

  private CompletableFuture<HttpReply> refuse(
      RequestContext context, RefusalReason reason, String message) {
    return refuse(context.name(), context.identifier(), reason, message);
  }

  /** Refuses before the request was claimed: an earlier one with its identifier may have run. */
  private CompletableFuture<HttpReply> refuse(
      String name, Optional<RequestIdentifier> identifier, RefusalReason reason, String message) {
    return CompletableFuture.completedFuture(
        refusals.refuse(name, reason, gate.executionSoFar(identifier), message));
  }

  private long deadlineNanoseconds(HttpCall call) {
    Duration wanted =
        call.headers()
            .first(CallerHeaders.DEADLINE_MILLISECONDS)
            .map(text -> Duration.ofMillis(Long.parseLong(text)))
            .orElse(DEFAULT_DEADLINE);
    Duration limited = wanted.compareTo(DEADLINE_LIMIT) > 0 ? DEADLINE_LIMIT : wanted;
    return time.monotonicNanoseconds() + limited.toNanos();
  }
}
