package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.admission.Assessment;

/**
 * What an entry instance would do with a request now, and why. Holds no access key.
 *
 * @param instance the instance that explains
 * @param region region from which the request is taken to arrive
 * @param configurationVersion version of the configuration in force; 0 if there is none
 * @param route the matching route
 * @param organisation organisation of the access key
 * @param limit state of the organisation's rate limit, if it has one
 * @param kind kind of the route
 * @param priority priority of the request; 0 is the most urgent
 * @param admission whether the instance admits the request
 * @param service the service that the request would be sent to
 * @param capacity the decision whether the servers have room; empty if the instance takes none
 * @param scope which servers were considered
 * @param candidates considered servers, the preferred one first, then those of the service that get
 *     no requests, whatever their object
 * @param outcome what the instance would do
 * @param basis the state that the explanation is based on; empty if the instance runs a version
 *     that does not state it
 */
public record RequestExplanation(
    String instance,
    String region,
    long configurationVersion,
    Optional<String> route,
    Optional<String> organisation,
    Optional<Limit> limit,
    Optional<String> kind,
    Optional<Integer> priority,
    String admission,
    Optional<String> service,
    Optional<Capacity> capacity,
    Optional<String> scope,
    List<Candidate> candidates,
    Outcome outcome,
    Optional<Basis> basis) {
  /** Copies the list. */
  public RequestExplanation {
    candidates = List.copyOf(candidates);
  }

  /**
   * The state that an explanation is based on.
   *
   * @param revision revision of the store that the instance has applied
   * @param ageMilliseconds time since the store confirmed this state; empty if it never did
   */
  public record Basis(long revision, Optional<Long> ageMilliseconds) {}

  /**
   * The state of a rate limit.
   *
   * @param limitPerSecond limit over the whole fleet, in requests per second
   * @param demandPerSecond demand on the instances that report it, in requests per second; empty if
   *     limits are not shared by demand
   * @param instances number of instances that report their demand; empty likewise
   * @param share ratio of the limit that this instance may admit
   * @param usedUp whether a request would be rejected now
   */
  public record Limit(
      double limitPerSecond,
      Optional<Double> demandPerSecond,
      Optional<Integer> instances,
      double share,
      boolean usedUp) {}

  /**
   * The decision whether the servers have room for the request.
   *
   * @param cause the rule that decided
   * @param expectedMilliseconds expected time until the answer; 0 if it is unknown
   * @param expectedWaitMilliseconds part of it that the request waits at the server
   * @param allowedWaitMilliseconds wait up to which a late request of its class is sent
   * @param freeSlots free slots of the server with the lowest expected latency
   * @param lateShare share of the recent answers that were late because they waited
   */
  public record Capacity(
      Assessment.Cause cause,
      long expectedMilliseconds,
      long expectedWaitMilliseconds,
      long allowedWaitMilliseconds,
      double freeSlots,
      double lateShare) {}

  /**
   * A server that was considered.
   *
   * @param server identifier of the server
   * @param zone its availability zone
   * @param region its region
   * @param condition what this instance believes of it
   * @param load estimated running and waiting requests
   * @param slots requests that it runs at the same time
   * @param speedRatio how much longer than usual work takes there now; 1 if it is unknown
   * @param latencyRatio its latency compared with the average of the routes
   * @param failureRatio ratio of recent requests that failed
   * @param reportAgeMilliseconds age of its last report of load or speed; empty if none counts any
   *     more
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
      double speedRatio,
      double latencyRatio,
      double failureRatio,
      Optional<Long> reportAgeMilliseconds,
      Optional<Double> expectedLatencyRatio,
      boolean taken,
      String reason) {}

  /**
   * What the instance would do.
   *
   * @param decision {@code send}, {@code wait}, {@code reject} or {@code fail}
   * @param server the server that would get the request
   * @param reason why the request would be rejected: the name of the reason in the interface
   * @param retryAfterMilliseconds time after which the caller may try again
   * @param waitMilliseconds longest time until the instance decides again
   * @param status status of the response that the instance itself would give
   */
  public record Outcome(
      String decision,
      Optional<String> server,
      Optional<String> reason,
      Optional<Long> retryAfterMilliseconds,
      Optional<Long> waitMilliseconds,
      Optional<Integer> status) {
    static Outcome of(String decision) {
      return new Outcome(
          decision,
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty());
    }

    /** Returns the outcome that a server gets the request. */
    public static Outcome send(String server) {
      return new Outcome(
          "send",
          Optional.of(server),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty());
    }

    /** Returns the outcome that the request waits at the instance. */
    public static Outcome waiting(long milliseconds) {
      return new Outcome(
          "wait",
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.of(milliseconds),
          Optional.empty());
    }

    static Outcome reject(RejectionReason reason, long retryAfterMilliseconds) {
      return reject(reason.name(), retryAfterMilliseconds);
    }

    /**
     * Returns the outcome that the request is rejected.
     *
     * @param reason name of the reason in the interface
     */
    public static Outcome reject(String reason, long retryAfterMilliseconds) {
      return new Outcome(
          "reject",
          Optional.empty(),
          Optional.of(reason),
          Optional.of(retryAfterMilliseconds),
          Optional.empty(),
          Optional.empty());
    }

    /** Returns the same outcome with the status of the response. */
    public Outcome withStatus(int responseStatus) {
      return new Outcome(
          decision,
          server,
          reason,
          retryAfterMilliseconds,
          waitMilliseconds,
          Optional.of(responseStatus));
    }
  }

  /** Returns the same explanation with the status of the response in the outcome. */
  public RequestExplanation withStatus(int status) {
    return with(outcome.withStatus(status), basis);
  }

  /** Returns the same explanation with the age of the state that it is based on. */
  public RequestExplanation withAge(Optional<Duration> age) {
    return with(
        outcome, basis.map(known -> new Basis(known.revision(), age.map(Duration::toMillis))));
  }

  private RequestExplanation with(Outcome newOutcome, Optional<Basis> newBasis) {
    return new RequestExplanation(
        instance,
        region,
        configurationVersion,
        route,
        organisation,
        limit,
        kind,
        priority,
        admission,
        service,
        capacity,
        scope,
        candidates,
        newOutcome,
        newBasis);
  }
}
