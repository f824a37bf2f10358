package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.admission.Assessment;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficRoute;

/** Puts the parts of a decision into words. Decides nothing itself. */
final class RequestExplainer {
  private final String instance;
  private final String region;
  private final long configurationVersion;
  private final Optional<RequestExplanation.Basis> basis;
  private final ServerPool servers;
  private final long nowNanoseconds;

  /**
   * Creates an explainer.
   *
   * @param instance name of this instance
   * @param region region from which the request is taken to arrive
   * @param view what this instance knows of the fleet
   * @param servers the servers and their state
   */
  RequestExplainer(
      String instance, String region, FleetView view, ServerPool servers, long nowNanoseconds) {
    this.instance = instance;
    this.region = region;
    configurationVersion = view.index().map(index -> index.configuration().version()).orElse(0L);
    basis = Optional.of(new RequestExplanation.Basis(view.revision(), Optional.empty()));
    this.servers = servers;
    this.nowNanoseconds = nowNanoseconds;
  }

  /** Explains the rejection of a request that has no route or may not use it. */
  RequestExplanation unmatched(Admission.Rejected rejected) {
    return new RequestExplanation(
        instance,
        region,
        configurationVersion,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        "rejected: " + rejected.reason(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        List.of(),
        rejection(rejected.reason(), rejected.retryAfter()),
        basis);
  }

  /** Explains the rejection of a request that has a route. */
  RequestExplanation rejected(
      RouteMatch.Found match, Optional<RateLimitSnapshot> limit, Admission.Rejected rejected) {
    return matched(
        match,
        limit.map(state -> limit(state, rejected.reason() == RejectionReason.OVER_LIMIT)),
        "rejected: " + rejected.reason(),
        Optional.empty(),
        Optional.empty(),
        List.of(),
        rejection(rejected.reason(), rejected.retryAfter()));
  }

  /**
   * Explains the next step of an admitted request.
   *
   * @param evaluation the step and its grounds
   */
  RequestExplanation admitted(
      RouteMatch.Found match,
      Optional<RateLimitSnapshot> limit,
      AdmittedRequest request,
      StepEvaluation evaluation) {
    return matched(
        match,
        limit.map(state -> limit(state, false)),
        "admitted",
        Optional.of(request.service()),
        Optional.of(evaluation),
        servers.excluded(request.service()),
        outcome(evaluation.step()));
  }

  private RequestExplanation matched(
      RouteMatch.Found match,
      Optional<RequestExplanation.Limit> limit,
      String admission,
      Optional<String> service,
      Optional<StepEvaluation> evaluation,
      List<ServerPool.Excluded> excluded,
      RequestExplanation.Outcome outcome) {
    TrafficRoute route = match.route();
    List<RequestExplanation.Candidate> candidates = new ArrayList<>();
    evaluation.ifPresent(present -> candidates.addAll(candidates(present)));
    excluded.forEach(server -> candidates.add(candidate(server)));
    int priority =
        match.organisation().map(CallerOrganisation::priority).stream()
            .flatMapToInt(own -> own.stream())
            .findFirst()
            .orElse(route.priority());
    return new RequestExplanation(
        instance,
        region,
        configurationVersion,
        Optional.of(route.name()),
        match.organisation().map(CallerOrganisation::name),
        limit,
        Optional.of(route.kind().label()),
        Optional.of(priority),
        admission,
        service,
        evaluation
            .flatMap(StepEvaluation::ruling)
            .map(ruling -> capacity(ruling.result().assessment())),
        evaluation.flatMap(StepEvaluation::search).map(searched -> searched.scope().description()),
        candidates,
        outcome,
        basis);
  }

  private static RequestExplanation.Limit limit(RateLimitSnapshot state, boolean usedUp) {
    return new RequestExplanation.Limit(
        state.limitPerSecond(),
        Optional.of(state.demandPerSecond()),
        Optional.of(state.instances()),
        state.share(),
        usedUp);
  }

  private static RequestExplanation.Capacity capacity(Assessment assessment) {
    return new RequestExplanation.Capacity(
        assessment.cause(),
        TimeUnit.NANOSECONDS.toMillis(assessment.expectedTime()),
        TimeUnit.NANOSECONDS.toMillis(assessment.expectedWait()),
        TimeUnit.NANOSECONDS.toMillis(assessment.allowedWait()),
        assessment.freeSlots(),
        assessment.lateShare());
  }

  private List<RequestExplanation.Candidate> candidates(StepEvaluation evaluation) {
    List<RequestExplanation.Candidate> candidates = new ArrayList<>();
    evaluation
        .search()
        .ifPresent(
            searched -> {
              for (int rank = 0; rank < searched.candidates().size(); rank++) {
                candidates.add(candidate(evaluation, searched, rank));
              }
            });
    return candidates;
  }

  private RequestExplanation.Candidate candidate(
      StepEvaluation evaluation, ServerSearch.Result searched, int rank) {
    ServerChoice.Candidate candidate = searched.candidates().get(rank);
    ServerState server = candidate.server();
    boolean best = searched.chosen().filter(chosen -> chosen.server() == server).isPresent();
    boolean taken = best && evaluation.sentTo().isPresent();
    Optional<Double> expected =
        candidate.usable()
            ? Optional.of(
                ServerChoice.expectedLatencyRatio(
                    candidate,
                    rank,
                    region,
                    searched.sticky(),
                    searched.largeBody(),
                    nowNanoseconds))
            : Optional.empty();
    String reason = searched.verdicts().get(rank).reason();
    if (candidate.usable()) {
      reason = best ? "lowest expected latency" : "higher expected latency";
    }
    if (best && !taken) {
      reason += ", but the servers have no room for the request";
    }
    return candidate(server, expected, taken, reason);
  }

  private RequestExplanation.Candidate candidate(ServerPool.Excluded excluded) {
    return candidate(excluded.server(), Optional.empty(), false, excluded.exclusion().reason());
  }

  private RequestExplanation.Candidate candidate(
      ServerState server, Optional<Double> expectedLatencyRatio, boolean taken, String reason) {
    ServerRegistration registration = server.registration();
    return new RequestExplanation.Candidate(
        registration.identifier(),
        registration.zone(),
        server.region(),
        server.condition(nowNanoseconds).label(),
        server.load(nowNanoseconds),
        registration.slots(),
        server.speedRatio(nowNanoseconds),
        server.latencyRatio(nowNanoseconds),
        server.failureRatio(nowNanoseconds),
        server.reportAge(nowNanoseconds).map(Duration::toMillis),
        expectedLatencyRatio,
        taken,
        reason);
  }

  private RequestExplanation.Outcome outcome(NextStep step) {
    return switch (step) {
      case NextStep.Send send ->
          RequestExplanation.Outcome.send(send.server().registration().identifier());
      case NextStep.Wait wait ->
          RequestExplanation.Outcome.waiting(
              TimeUnit.NANOSECONDS.toMillis(wait.untilNanoseconds() - nowNanoseconds));
      case NextStep.Reject reject -> rejection(reject.reason(), reject.retryAfter());
      case NextStep.Fail unused -> RequestExplanation.Outcome.of("fail");
      case NextStep.Deliver unused -> RequestExplanation.Outcome.of("deliver");
    };
  }

  private static RequestExplanation.Outcome rejection(RejectionReason reason, Duration retryAfter) {
    return RequestExplanation.Outcome.reject(reason, retryAfter.toMillis());
  }
}
