package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.Durations;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.ServiceSettings;
import org.corianderweir.model.traffic.TrafficRoute;

/**
 * Decides for each request whether it is admitted, which server it is sent to, and whether it is
 * retried after a failure. Thread-safe; the lock is held only for a short time for each decision.
 */
public final class TrafficDirector {
  /** Minimum time that an answer needs. With less time left, no request is sent. */
  private static final Duration MINIMUM_SEND_TIME = Duration.ofMillis(20);

  /** Time after which a caller may retry if no better estimate is known. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(250);

  /** Time after which a caller may retry at another instance, which needs no time to prepare. */
  private static final Duration OTHER_INSTANCE_RETRY_AFTER = Duration.ofMillis(1);

  private static final Duration LONGEST_RETURN_DELAY = Duration.ofMillis(500);

  /**
   * Ratio of a cold server's rate limit that its owners together use, since they may have different
   * views of the fleet.
   */
  private static final double COLD_RATE_SAFETY_RATIO = 0.9;

  /**
   * Time before a lower number of instances takes effect, because instances that are cut off from
   * the fleet keep using their shares.
   */
  private static final Duration INSTANCE_COUNT_RETENTION = Duration.ofSeconds(30);

  private final FleetMember self;
  private FleetBounds bounds;
  private final ServerPool servers;
  private final RouteLatencyAverages latencyAverages = new RouteLatencyAverages();
  private final SmoothWeightedRoundRobin serviceRotation = new SmoothWeightedRoundRobin();
  private final Map<String, RetryBudgetShare> retryBudgets = new HashMap<>();
  private final Map<String, RateShare> rateShares = new HashMap<>();
  private FleetView view = FleetView.EMPTY;
  private int instanceCount = 1;
  private long instanceCountNanoseconds;
  private Optional<PlannedStop> plannedStop = Optional.empty();

  /** Creates a director without a configuration; it rejects all requests. */
  public TrafficDirector(FleetMember self, InstanceLocation location, FleetBounds bounds) {
    this.self = self;
    this.bounds = bounds;
    servers = new ServerPool(self, location);
  }

  /** Applies a new view of the fleet. */
  public synchronized void apply(FleetView update, long nowNanoseconds) {
    view = update;
    servers.apply(update, nowNanoseconds);
    int memberCount = Math.max(1, update.members().size());
    if (memberCount >= instanceCount
        || nowNanoseconds - instanceCountNanoseconds > INSTANCE_COUNT_RETENTION.toNanos()) {
      instanceCount = memberCount;
      instanceCountNanoseconds = nowNanoseconds;
    }
  }

  /** Applies new bounds. If they differ, the retry and rate counters are reset. */
  public synchronized void apply(FleetBounds update) {
    if (!update.equals(bounds)) {
      bounds = update;
      retryBudgets.clear();
      rateShares.clear();
    }
  }

  /** Begins the planned stop of this instance. */
  public synchronized void beginStop(PlannedStop stop) {
    plannedStop = Optional.of(stop);
  }

  /**
   * Returns the rejection of a request whose head alone shows that it can't be served. Uses up
   * nothing of a limit.
   *
   * @param bodyBytes length of the body, or 0 if it is not known
   */
  public synchronized Optional<Admission.Rejected> rejectEarly(
      RequestAttributes attributes, long bodyBytes) {
    return switch (match(attributes, bodyBytes)) {
      case RouteMatch.None none -> Optional.of(none.rejected());
      case RouteMatch.Found unused -> Optional.empty();
    };
  }

  /** Returns whether a request is on a route whose requests may run more than once. */
  public synchronized boolean isIdempotent(RequestAttributes attributes) {
    return match(attributes, 0) instanceof RouteMatch.Found found && found.route().idempotent();
  }

  /** Decides whether a request without a body is admitted. */
  public Admission admit(RequestAttributes attributes, long nowNanoseconds) {
    return admit(attributes, 0, nowNanoseconds);
  }

  /** Decides whether a request is admitted. */
  public synchronized Admission admit(
      RequestAttributes attributes, long bodyBytes, long nowNanoseconds) {
    return switch (match(attributes, bodyBytes)) {
      case RouteMatch.None none -> none.rejected();
      case RouteMatch.Found found -> admit(attributes, found, nowNanoseconds);
    };
  }

  private Admission admit(
      RequestAttributes attributes, RouteMatch.Found match, long nowNanoseconds) {
    TrafficRoute route = match.route();
    Optional<CallerOrganisation> organisation = match.organisation();
    long deadlineNanoseconds = nowNanoseconds + timeToDeadline(attributes, route);
    if (isStoppingBefore(deadlineNanoseconds, nowNanoseconds)) {
      return new Admission.Rejected(RejectionReason.STOPPING, OTHER_INSTANCE_RETRY_AFTER);
    }
    Optional<Admission.Rejected> overLimit =
        organisation
            .filter(CallerOrganisation::hasLimit)
            .flatMap(limited -> checkRateLimit(limited, nowNanoseconds));
    if (overLimit.isPresent()) {
      return overLimit.get();
    }
    String service = serviceRotation.next(route.name(), route.weightedServices());
    retryBudget(service).recordRequest(nowNanoseconds);
    return new Admission.Admitted(
        new AdmittedRequest(
            attributes,
            route,
            organisation,
            service,
            nowNanoseconds,
            deadlineNanoseconds,
            match.index().configuration().version()));
  }

  private RouteMatch match(RequestAttributes attributes, long bodyBytes) {
    if (view.index().isEmpty()) {
      return RouteMatch.none(RejectionReason.NOT_READY, DEFAULT_RETRY_AFTER);
    }
    TrafficIndex index = view.index().get();
    Optional<TrafficRoute> route = index.route(attributes.host(), attributes.path());
    if (route.isEmpty()) {
      return RouteMatch.none(RejectionReason.NO_ROUTE, Duration.ZERO);
    }
    Optional<CallerOrganisation> organisation = attributes.accessKey().flatMap(index::organisation);
    if (index.needsKeys() && !route.get().open() && organisation.isEmpty()) {
      return RouteMatch.none(RejectionReason.KEY_UNKNOWN, Duration.ZERO);
    }
    if (bodyBytes > index.configuration().limits().maximumBodyBytes()) {
      return RouteMatch.none(RejectionReason.BODY_TOO_LARGE, Duration.ZERO);
    }
    return new RouteMatch.Found(index, route.get(), organisation);
  }

  /** Chooses the server for the first send or a retry of a request. */
  public synchronized NextStep nextStep(AdmittedRequest request, long nowNanoseconds) {
    long timeLeft = request.deadlineNanoseconds() - nowNanoseconds;
    if (timeLeft < MINIMUM_SEND_TIME.toNanos()) {
      return giveUp(request, RejectionReason.TOO_LATE);
    }
    if (!request.mayHaveRun() && isStoppingBefore(request.deadlineNanoseconds(), nowNanoseconds)) {
      return new NextStep.Reject(RejectionReason.STOPPING, OTHER_INSTANCE_RETRY_AFTER);
    }
    Optional<ServerChoice.Chosen> chosen = chooseServer(request, nowNanoseconds);
    if (chosen.isEmpty()) {
      return giveUpWithoutServer(request, nowNanoseconds);
    }
    ServerState server = chosen.get().server();
    request.recordSend(server.registration().identifier(), chosen.get().rank());
    server.recordSend(nowNanoseconds);
    return new NextStep.Send(server, Duration.ofNanos(timeLeft));
  }

  /**
   * Returns whether a chosen server still accepts requests. Asked again when the request is
   * written, since connecting takes time.
   */
  public synchronized boolean accepts(ServerState server, long nowNanoseconds) {
    return servers.contains(server) && !server.condition(nowNanoseconds).isClosed();
  }

  /** Returns what is believed of a server. */
  public synchronized ServerCondition condition(ServerState server, long nowNanoseconds) {
    return server.condition(nowNanoseconds);
  }

  /** Returns the number of servers by the label of their condition. */
  public synchronized Map<String, Integer> conditionCounts(long nowNanoseconds) {
    return servers.conditionCounts(nowNanoseconds);
  }

  /** Records the outcome of a send and decides what to do next. */
  public synchronized NextStep sendEnded(
      AdmittedRequest request,
      ServerState server,
      SendOutcome outcome,
      long sentNanoseconds,
      long nowNanoseconds) {
    server.recordEnd();
    return switch (outcome) {
      case SendOutcome.Withheld unused -> {
        request.recordNotRun(false);
        yield nextStep(request, nowNanoseconds);
      }
      case SendOutcome.Unreachable unused -> {
        server.recordLoss(true, nowNanoseconds);
        request.recordNotRun(false);
        yield retry(request, false, nowNanoseconds);
      }
      case SendOutcome.NotRun notRun -> {
        server.recordResponse(nowNanoseconds);
        recordReport(server, notRun.report(), nowNanoseconds);
        if (notRun.misdirected()) {
          server.recordLoss(true, nowNanoseconds);
        } else {
          server.recordFailure(nowNanoseconds);
        }
        request.recordNotRun(true);
        yield retry(request, true, nowNanoseconds);
      }
      case SendOutcome.Answered answer -> {
        server.recordResponse(nowNanoseconds);
        recordReport(server, answer.report(), nowNanoseconds);
        request.recordUncertainOutcome();
        if (answer.serverError()) {
          server.recordFailure(nowNanoseconds);
          yield request.route().idempotent() ? retryOrDeliver(request, nowNanoseconds) : deliver();
        }
        long latencyNanoseconds = nowNanoseconds - sentNanoseconds;
        server.recordSuccess(
            latencyAverages.observe(request.route().name(), latencyNanoseconds), nowNanoseconds);
        yield deliver();
      }
      case SendOutcome.Lost unused -> {
        server.recordLoss(false, nowNanoseconds);
        request.recordUncertainOutcome();
        yield request.route().idempotent()
            ? retry(request, true, nowNanoseconds)
            : new NextStep.Fail(false);
      }
      case SendOutcome.TimedOut unused -> {
        server.recordLoss(false, nowNanoseconds);
        request.recordUncertainOutcome();
        yield new NextStep.Fail(true);
      }
      case SendOutcome.Abandoned abandoned -> {
        if (abandoned.written()) {
          request.recordUncertainOutcome();
        } else {
          request.recordNotRun(false);
        }
        yield new NextStep.Fail(false);
      }
    };
  }

  /**
   * Returns the entry instances that callers in a region should use: those of the region, or all if
   * it has none. Returns only this instance if none is left.
   *
   * @param stopping whether this instance is shutting down and is left out
   */
  public synchronized List<FleetMember> membersFor(String region, boolean stopping) {
    List<FleetMember> inRegion =
        view.members().stream().filter(member -> member.region().equals(region)).toList();
    List<FleetMember> eligible = inRegion.isEmpty() ? view.members() : inRegion;
    List<FleetMember> remaining =
        eligible.stream()
            .filter(member -> !stopping || !member.name().equals(self.name()))
            .toList();
    return remaining.isEmpty() ? List.of(self) : remaining;
  }

  /** Returns the demand on this instance by organisation, in requests per second. */
  public synchronized Map<String, Double> demand(long nowNanoseconds) {
    Map<String, Double> demand = new HashMap<>();
    rateShares.forEach(
        (organisation, share) -> {
          double rate = share.demand(nowNanoseconds);
          if (rate > 0) {
            demand.put(organisation, rate);
          }
        });
    return demand;
  }

  /**
   * Updates the demand of organisations on the fleet, in requests per second.
   *
   * @param reported demand that this instance had reported
   * @param reportingInstances number of instances whose demand is known
   * @param fleetDemand demand of these instances
   */
  public synchronized void updateFleetDemand(
      Map<String, Double> reported,
      int reportingInstances,
      Map<String, Double> fleetDemand,
      long nowNanoseconds) {
    rateShares.forEach(
        (organisation, share) ->
            share.updateFleetDemand(
                reported.getOrDefault(organisation, 0.0),
                fleetDemand.getOrDefault(organisation, 0.0),
                reportingInstances,
                nowNanoseconds));
  }

  /** Returns whether a request with the given deadline could outlive this instance. */
  private boolean isStoppingBefore(long deadlineNanoseconds, long nowNanoseconds) {
    return plannedStop.isPresent()
        && !plannedStop.get().admits(deadlineNanoseconds, nowNanoseconds);
  }

  /** Returns the time until a request that arrives now must have its answer, in nanoseconds. */
  private static long timeToDeadline(RequestAttributes attributes, TrafficRoute route) {
    long timeout = Durations.toBoundedNanoseconds(route.timeout());
    long asked =
        attributes.deadlineMilliseconds().stream()
            .map(wanted -> Durations.toBoundedNanoseconds(Duration.ofMillis(wanted)))
            .findFirst()
            .orElse(timeout);
    return Math.min(timeout, asked) - attributes.queueTime().toNanos();
  }

  private static NextStep deliver() {
    return new NextStep.Deliver();
  }

  private static NextStep giveUp(AdmittedRequest request, RejectionReason reason) {
    return request.mayHaveRun()
        ? new NextStep.Fail(reason == RejectionReason.TOO_LATE)
        : new NextStep.Reject(reason, DEFAULT_RETRY_AFTER);
  }

  /** Gives a request up that no server takes, with the time at which the first of them returns. */
  private NextStep giveUpWithoutServer(AdmittedRequest request, long nowNanoseconds) {
    List<ServerState> eligible =
        servers.placement(request.service()).servers().stream()
            .filter(server -> request.allowsRegion(server.region()))
            .toList();
    Optional<Duration> untilReturn =
        eligible.stream().allMatch(server -> server.isPausing(nowNanoseconds))
            ? eligible.stream()
                .map(server -> server.pauseLeft(nowNanoseconds))
                .min(Comparator.naturalOrder())
            : Optional.empty();
    return untilReturn.isPresent() && !request.mayHaveRun()
        ? new NextStep.Reject(RejectionReason.SERVERS_PAUSE, untilReturn.get())
        : giveUp(request, RejectionReason.NO_SERVER);
  }

  private NextStep retry(AdmittedRequest request, boolean reachedServer, long nowNanoseconds) {
    if (reachedServer && !mayRetry(request, nowNanoseconds)) {
      return giveUpWithoutServer(request, nowNanoseconds);
    }
    return nextStep(request, nowNanoseconds);
  }

  private NextStep retryOrDeliver(AdmittedRequest request, long nowNanoseconds) {
    if (!mayRetry(request, nowNanoseconds)) {
      return deliver();
    }
    NextStep step = nextStep(request, nowNanoseconds);
    return step instanceof NextStep.Send ? step : deliver();
  }

  private boolean mayRetry(AdmittedRequest request, long nowNanoseconds) {
    return request.sendCount() < request.route().maximumAttempts()
        && request.deadlineNanoseconds() - nowNanoseconds > MINIMUM_SEND_TIME.toNanos()
        && retryBudget(request.service()).tryAcquireRetry(instanceCount, nowNanoseconds);
  }

  private void recordReport(
      ServerState server, SendOutcome.ServerReport report, long nowNanoseconds) {
    if (report.leaving()) {
      servers.recordLeaving(server);
    }
    if (!report.pause().isZero()) {
      server.recordPause(report.pause(), returnDelay(server, report.pause()), nowNanoseconds);
    }
    report.requests().ifPresent(requests -> server.recordLoad(requests, nowNanoseconds));
    report
        .coldMilliseconds()
        .ifPresent(
            remaining -> server.recordColdRemaining(Duration.ofMillis(remaining), nowNanoseconds));
  }

  /** Returns a delay after a pause that differs by instance and server. */
  private Duration returnDelay(ServerState server, Duration pause) {
    double position =
        Hashing.uniform(
            Hashing.hash(self.name()), Hashing.hash(server.registration().identifier()));
    Duration longest = pause.compareTo(LONGEST_RETURN_DELAY) < 0 ? pause : LONGEST_RETURN_DELAY;
    return Duration.ofNanos(Math.round(position * longest.toNanos()));
  }

  private Optional<ServerChoice.Chosen> chooseServer(AdmittedRequest request, long nowNanoseconds) {
    boolean sticky = request.route().sticky() && request.attributes().affinityKey().isPresent();
    String affinityKey =
        sticky
            ? request.route().name() + '/' + request.attributes().affinityKey().get()
            : request.attributes().identifier();
    Placement placement = servers.placement(request.service());
    long keyHash = Hashing.hash(affinityKey);
    List<ServerState> candidates =
        placement.candidates(keyHash, self.region(), request::allowsRegion);
    Optional<ServerChoice.Chosen> best =
        chooseBest(request, candidates, sticky, false, nowNanoseconds);
    if (best.isEmpty()) {
      best = chooseBest(request, candidates, sticky, true, nowNanoseconds);
    }
    boolean closed =
        best.isEmpty()
            && candidates.stream().anyMatch(server -> server.condition(nowNanoseconds).isClosed());
    return closed
        ? chooseBest(
            request,
            placement.allCandidates(keyHash, self.region(), request::allowsRegion),
            sticky,
            true,
            nowNanoseconds)
        : best;
  }

  private Optional<ServerChoice.Chosen> chooseBest(
      AdmittedRequest request,
      List<ServerState> rankedServers,
      boolean sticky,
      boolean lastResort,
      long nowNanoseconds) {
    List<ServerChoice.Candidate> candidates = new ArrayList<>();
    for (int rank = 0; rank < rankedServers.size(); rank++) {
      ServerState server = rankedServers.get(rank);
      boolean healthy =
          lastResort
              || (!server.isEjected(nowNanoseconds)
                  && !server.isUnresponsive(nowNanoseconds)
                  && !ServerChoice.isFull(server, nowNanoseconds));
      boolean usable =
          healthy
              && !server.condition(nowNanoseconds).isClosed()
              && server.takesMoreAfterPause(nowNanoseconds)
              && !request.hasTried(server.registration().identifier())
              && acceptsRequest(request.service(), server, nowNanoseconds);
      candidates.add(new ServerChoice.Candidate(server, rank == 0, usable));
    }
    return ServerChoice.best(candidates, self.region(), sticky, nowNanoseconds);
  }

  /** Returns whether a server is warm or this instance's share of a cold server has room. */
  private boolean acceptsRequest(String service, ServerState server, long nowNanoseconds) {
    if (!server.isCold(nowNanoseconds)) {
      return true;
    }
    double rate =
        view.index()
            .map(index -> index.configuration().services().get(service))
            .map(ServiceSettings::coldRequestsPerSecond)
            .orElse(0.0);
    if (rate <= 0) {
      return true;
    }
    int owners = servers.coldServerOwnerCount(server);
    return owners > 0
        && server.coldRequests(nowNanoseconds) + 1
            <= Math.max(1, COLD_RATE_SAFETY_RATIO * rate / owners);
  }

  private RetryBudgetShare retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, unused -> new RetryBudgetShare(bounds));
  }

  /** Admits a request within this instance's share of the rate limit, or returns a rejection. */
  private Optional<Admission.Rejected> checkRateLimit(
      CallerOrganisation organisation, long nowNanoseconds) {
    RateShare share =
        rateShares.computeIfAbsent(
            organisation.name(),
            unused -> new RateShare(organisation, bounds, instanceCount, nowNanoseconds));
    Duration retryAfter = share.tryAcquire(organisation, instanceCount, nowNanoseconds);
    return retryAfter.isZero()
        ? Optional.empty()
        : Optional.of(
            new Admission.Rejected(
                RejectionReason.OVER_LIMIT, retryAfter, Optional.of(share.snapshot(organisation))));
  }
}
