package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
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

  /**
   * Time before a lower number of instances takes effect, because instances that are cut off from
   * the fleet keep using their shares.
   */
  private static final Duration INSTANCE_COUNT_RETENTION = Duration.ofSeconds(30);

  private final FleetMember self;
  private FleetBounds bounds;
  private final ServerPool servers;
  private final ServerSearch search;
  private final CapacityGate capacity;
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
    search = new ServerSearch(servers);
    capacity = new CapacityGate(self.name());
  }

  /** Applies a new view of the fleet. */
  public synchronized void apply(FleetView update, long nowNanoseconds) {
    view = update;
    servers.apply(update, nowNanoseconds);
    capacity.apply(update);
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
      case RouteMatch.Found found -> admit(attributes, found, bodyBytes, nowNanoseconds);
    };
  }

  private Admission admit(
      RequestAttributes attributes, RouteMatch.Found match, long bodyBytes, long nowNanoseconds) {
    Admission admission =
        admit(
            attributes,
            match,
            bodyBytes,
            organisation ->
                rateShares.computeIfAbsent(
                    organisation.name(), unused -> newShare(organisation, nowNanoseconds)),
            serviceRotation,
            nowNanoseconds);
    if (admission instanceof Admission.Admitted admitted) {
      retryBudget(admitted.request().service()).recordRequest(nowNanoseconds);
    }
    return admission;
  }

  /**
   * Decides whether a request with a route is admitted.
   *
   * @param shares returns the share of an organisation's rate limit, which is used
   * @param rotation rotation of the services of a route, which moves on
   */
  private Admission admit(
      RequestAttributes attributes,
      RouteMatch.Found match,
      long bodyBytes,
      Function<CallerOrganisation, RateShare> shares,
      SmoothWeightedRoundRobin rotation,
      long nowNanoseconds) {
    TrafficRoute route = match.route();
    long deadlineNanoseconds = nowNanoseconds + attributes.nanosecondsToDeadline(route);
    if (isStoppingBefore(deadlineNanoseconds, nowNanoseconds)) {
      return new Admission.Rejected(RejectionReason.STOPPING, OTHER_INSTANCE_RETRY_AFTER);
    }
    Optional<CallerOrganisation> limited = limited(match);
    if (limited.isPresent()) {
      RateShare share = shares.apply(limited.get());
      Duration retryAfter = share.tryAcquire(limited.get(), instanceCount, nowNanoseconds);
      if (!retryAfter.isZero()) {
        return new Admission.Rejected(
            RejectionReason.OVER_LIMIT, retryAfter, Optional.of(share.snapshot(limited.get())));
      }
    }
    return new Admission.Admitted(
        new AdmittedRequest(
            attributes,
            route,
            match.organisation(),
            rotation.next(route.name(), route.weightedServices()),
            bodyBytes,
            nowNanoseconds,
            deadlineNanoseconds,
            match.index().configuration().version()));
  }

  private static Optional<CallerOrganisation> limited(RouteMatch.Found match) {
    return match.organisation().filter(CallerOrganisation::hasLimit);
  }

  private RateShare newShare(CallerOrganisation organisation, long nowNanoseconds) {
    return new RateShare(organisation, bounds, instanceCount, nowNanoseconds);
  }

  /**
   * Explains what would be done with a request now. Goes through the decisions that serve requests,
   * with copies of what they count, so nothing is recorded or used up.
   *
   * @param region region from which the request is taken to arrive
   */
  public synchronized RequestExplanation explain(
      RequestAttributes attributes, long bodyBytes, String region, long nowNanoseconds) {
    RequestExplainer explainer =
        new RequestExplainer(self.name(), region, view, servers, nowNanoseconds);
    return switch (match(attributes, bodyBytes)) {
      case RouteMatch.None none -> explainer.unmatched(none.rejected());
      case RouteMatch.Found found -> {
        Optional<RateShare> share =
            limited(found)
                .map(
                    organisation ->
                        Optional.ofNullable(rateShares.get(organisation.name()))
                            .map(RateShare::copy)
                            .orElseGet(() -> newShare(organisation, nowNanoseconds)));
        Admission admission =
            admit(
                attributes,
                found,
                bodyBytes,
                unused -> share.orElseThrow(),
                serviceRotation.copy(),
                nowNanoseconds);
        Optional<RateLimitSnapshot> limit =
            share.flatMap(used -> found.organisation().map(used::snapshot));
        yield switch (admission) {
          case Admission.Rejected rejected -> explainer.rejected(found, limit, rejected);
          case Admission.Admitted admitted -> {
            // The time to return of a rejection is one that the decision could draw as well.
            RandomGenerator random = new SplittableRandom(nowNanoseconds);
            StepEvaluation evaluation =
                evaluate(admitted.request(), region, random, nowNanoseconds);
            yield explainer.admitted(found, limit, admitted.request(), evaluation);
          }
        };
      }
    };
  }

  private RouteMatch match(RequestAttributes attributes, long bodyBytes) {
    return view.index()
        .map(index -> RouteMatch.of(index, attributes, bodyBytes))
        .orElseGet(() -> RouteMatch.none(RejectionReason.NOT_READY, DEFAULT_RETRY_AFTER));
  }

  /** Chooses the server for the first send or a retry of a request. */
  public synchronized NextStep nextStep(AdmittedRequest request, long nowNanoseconds) {
    StepEvaluation evaluation = evaluate(request, self.region(), capacity.random(), nowNanoseconds);
    evaluation.ruling().ifPresent(ruling -> capacity.record(request, ruling, nowNanoseconds));
    evaluation
        .sentTo()
        .ifPresent(
            chosen -> {
              ServerState server = chosen.server();
              request.recordSend(server.registration().identifier(), chosen.rank());
              server.recordSend(request.bodyBytes(), nowNanoseconds);
            });
    return evaluation.step();
  }

  /** Evaluates the next step of a request. Changes nothing but the state of the random source. */
  private StepEvaluation evaluate(
      AdmittedRequest request, String region, RandomGenerator random, long nowNanoseconds) {
    long timeLeft = request.deadlineNanoseconds() - nowNanoseconds;
    if (timeLeft < MINIMUM_SEND_TIME.toNanos()) {
      return StepEvaluation.withoutSearch(giveUp(request, RejectionReason.TOO_LATE));
    }
    if (!request.mayHaveRun() && isStoppingBefore(request.deadlineNanoseconds(), nowNanoseconds)) {
      return StepEvaluation.withoutSearch(
          new NextStep.Reject(RejectionReason.STOPPING, OTHER_INSTANCE_RETRY_AFTER));
    }
    ServerSearch.Result found = search.search(request, region, nowNanoseconds);
    if (found.chosen().isEmpty()) {
      NextStep step = giveUpWithoutServer(request, nowNanoseconds);
      return new StepEvaluation(step, Optional.of(found), Optional.empty());
    }
    ServerChoice.Chosen chosen = found.chosen().get();
    Optional<CapacityGate.Ruling> ruling = capacity.rule(request, chosen, random, nowNanoseconds);
    NextStep step =
        ruling
            .flatMap(CapacityGate.Ruling::hold)
            .orElseGet(() -> new NextStep.Send(chosen.server(), Duration.ofNanos(timeLeft)));
    return new StepEvaluation(step, Optional.of(found), ruling);
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

  /** Returns the number of servers by the label of the speed that they reported. */
  public synchronized Map<String, Integer> speedCounts(long nowNanoseconds) {
    return servers.speedCounts(nowNanoseconds);
  }

  /** Returns the number of body bytes that this instance has in progress at all servers. */
  public synchronized long bodyBytesInProgress() {
    return servers.bodyBytesInProgress();
  }

  /** Returns the reports that this instance has heard since the last call and shares. */
  public synchronized List<SharedServerReport> takeReports(long nowNanoseconds) {
    return servers.takeReports(nowNanoseconds);
  }

  /**
   * Applies reports that other instances have heard; returns how many tell something newer.
   *
   * @param sinceNanoseconds time from which their ages count
   */
  public synchronized int applyReports(List<SharedServerReport> reports, long sinceNanoseconds) {
    return servers.applyReports(
        reports,
        sinceNanoseconds,
        (server, load) -> capacity.recordReport(server, load, sinceNanoseconds));
  }

  /** Records the outcome of a send and decides what to do next. */
  public synchronized NextStep sendEnded(
      AdmittedRequest request,
      ServerState server,
      SendOutcome outcome,
      long sentNanoseconds,
      long nowNanoseconds) {
    server.recordEnd(request.bodyBytes(), nowNanoseconds);
    capacity.recordOutcome(request, server, outcome, sentNanoseconds, nowNanoseconds);
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
        servers.recordReport(server, notRun.report(), nowNanoseconds);
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
        servers.recordReport(server, answer.report(), nowNanoseconds);
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
   * Returns the entry instances that callers in a region should use, of which they pick one at
   * random (see {@link MemberWeights}).
   *
   * @param stopping whether this instance is shutting down and is left out
   */
  public synchronized List<FleetMember> membersFor(String region, boolean stopping) {
    return MemberWeights.choose(view.members(), self, region, stopping);
  }

  /** Returns the regions in which an entry instance or a server is known. */
  public synchronized Set<String> regions() {
    Set<String> regions = new TreeSet<>(servers.regions());
    regions.add(self.region());
    view.members().forEach(member -> regions.add(member.region()));
    return regions;
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

  private RetryBudgetShare retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, unused -> new RetryBudgetShare(bounds));
  }
}
