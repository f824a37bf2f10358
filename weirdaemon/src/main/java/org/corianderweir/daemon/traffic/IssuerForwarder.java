package org.corianderweir.daemon.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.corianderweir.http.HopByHopHeaders;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.topology.EntryInstance;

/**
 * Forwards a request to the entry instance that issued its identifier. If that fails, the outcome
 * is unknown, because the issuer may have run an earlier request with the same identifier.
 */
final class IssuerForwarder {
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(50);

  private final String instanceName;
  private final HttpClient client;
  private final Supplier<List<Member>> members;
  private final Refusals refusals;
  private final TimeSource time;

  IssuerForwarder(
      String instanceName,
      HttpClient client,
      Supplier<List<Member>> members,
      Refusals refusals,
      TimeSource time) {
    this.instanceName = instanceName;
    this.client = client;
    this.members = members;
    this.refusals = refusals;
    this.time = time;
  }

  /**
   * Forwards a request. A request that was forwarded before, or whose issuer is not a live member,
   * is refused.
   */
  CompletableFuture<HttpResponse> forward(RequestContext context, RequestIdentifier identifier) {
    boolean forwardedBefore =
        context.request().headers().first(CallerHeaders.FORWARDED_BY).isPresent();
    Optional<EntryInstance> issuer =
        members.get().stream()
            .map(Member::instance)
            .filter(instance -> instance.name().equals(identifier.instance()))
            .findFirst();
    if (forwardedBefore || issuer.isEmpty() || identifier.instance().equals(instanceName)) {
      return CompletableFuture.completedFuture(refuseOutcomeUnknown(context, "the issuer is gone"));
    }
    Duration remaining =
        Duration.ofNanos(context.deadlineNanoseconds() - time.monotonicNanoseconds());
    if (!remaining.isPositive()) {
      return CompletableFuture.completedFuture(
          refuseOutcomeUnknown(context, "the deadline has passed"));
    }
    HttpAddress address = new HttpAddress(issuer.get().host(), issuer.get().callerPort());
    return client
        .exchange(address, toForwardedRequest(context, remaining), remaining)
        .handle(
            (response, failure) ->
                failure == null
                    ? new HttpResponse(
                        response.status(),
                        HopByHopHeaders.strip(response.headers()),
                        response.body())
                    : refuseOutcomeUnknown(
                        context, "no answer from the issuer " + identifier.instance()));
  }

  private HttpRequest toForwardedRequest(RequestContext context, Duration remaining) {
    HttpRequest request = context.request();
    HttpHeaders headers =
        HopByHopHeaders.strip(request.headers())
            .without(java.util.Set.of("weir-deadline-milliseconds"))
            .with(
                CallerHeaders.DEADLINE_MILLISECONDS,
                Long.toString(issuerDeadlineMilliseconds(remaining)))
            .with(CallerHeaders.FORWARDED_BY, instanceName);
    return new HttpRequest(request.method(), request.target(), headers, request.body());
  }

  /** Returns a slightly shorter deadline, so that a refusal of the issuer arrives in time. */
  private static long issuerDeadlineMilliseconds(Duration remaining) {
    long margin = Math.min(DEADLINE_MARGIN.toMillis(), remaining.toMillis() / 4);
    return remaining.toMillis() - margin;
  }

  private HttpResponse refuseOutcomeUnknown(RequestContext context, String message) {
    return refusals.refuse(context.name(), RefusalReason.OUTCOME_UNKNOWN, message);
  }
}
