package org.corianderweir.logic.traffic;

import java.util.List;
import java.util.Optional;

/**
 * What an entry instance would do with a request now, and why. Holds no access key.
 *
 * @param instance the instance that explains
 * @param region region from which the request is taken to arrive
 * @param configurationVersion version of the configuration in force; 0 if there is none
 * @param route the matching route
 * @param organisation organisation of the access key
 * @param limit state of the organisation's rate limit, if it has one
 * @param repeatable whether the request may run more than once
 * @param priority priority of the request; 0 is the most urgent
 * @param admission whether the instance admits the request
 * @param service the service that the request would be sent to
 * @param scope which servers were considered
 * @param candidates considered servers, the preferred one first
 * @param outcome what the instance would do
 */
public record RequestExplanation(
    String instance,
    String region,
    long configurationVersion,
    Optional<String> route,
    Optional<String> organisation,
    Optional<Limit> limit,
    Optional<Boolean> repeatable,
    Optional<Integer> priority,
    String admission,
    Optional<String> service,
    Optional<String> scope,
    List<Candidate> candidates,
    Outcome outcome) {
  /** Copies the list. */
  public RequestExplanation {
    candidates = List.copyOf(candidates);
  }

  /**
   * The state of a rate limit.
   *
   * @param limitPerSecond limit over the whole fleet, in requests per second
   * @param demandPerSecond demand on the instances that report it, in requests per second
   * @param instances number of instances that report their demand
   * @param share ratio of the limit that this instance may admit
   * @param usedUp whether a request would be rejected now
   */
  public record Limit(
      double limitPerSecond, double demandPerSecond, int instances, double share, boolean usedUp) {}

  /**
   * A server that was considered.
   *
   * @param server identifier of the server
   * @param zone its availability zone
   * @param region its region
   * @param condition what this instance believes of it
   * @param load estimated running and waiting requests
   * @param slots requests that it runs at the same time
   * @param latencyRatio its latency compared with the average of the routes
   * @param failureRatio ratio of recent requests that failed
   * @param reportAgeMilliseconds age of its last load report; empty if none counts any more
   * @param expectedLatencyRatio expected latency of the request compared with the usual one; empty
   *     if the server may not get the request
   * @param taken whether the request would be sent to it
   * @param reason why it is taken or passed over
   */
  public record Candidate(
      String server,
      String zone,
      String region,
      String condition,
      double load,
      int slots,
      double latencyRatio,
      double failureRatio,
      Optional<Long> reportAgeMilliseconds,
      Optional<Double> expectedLatencyRatio,
      boolean taken,
      String reason) {}

  /**
   * What the instance would do.
   *
   * @param decision {@code send}, {@code reject} or {@code fail}
   * @param server the server that would get the request
   * @param reason why the request would be rejected
   * @param retryAfterMilliseconds time after which the caller may try again
   * @param status status of the response that the instance itself would give
   */
  public record Outcome(
      String decision,
      Optional<String> server,
      Optional<RejectionReason> reason,
      Optional<Long> retryAfterMilliseconds,
      Optional<Integer> status) {}

  /** Returns the same explanation with the status of the response in the outcome. */
  public RequestExplanation withStatus(int status) {
    Outcome answered =
        new Outcome(
            outcome.decision(),
            outcome.server(),
            outcome.reason(),
            outcome.retryAfterMilliseconds(),
            Optional.of(status));
    return new RequestExplanation(
        instance,
        region,
        configurationVersion,
        route,
        organisation,
        limit,
        repeatable,
        priority,
        admission,
        service,
        scope,
        candidates,
        answered);
  }
}
