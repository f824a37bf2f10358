package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficRoute;

/** Puts the parts of a decision into words. Decides nothing itself. */
final class RequestExplainer {
  private final String instance;
  private final String region;
  private final long configurationVersion;
  private final long nowNanoseconds;

  RequestExplainer(String instance, String region, long configurationVersion, long nowNanoseconds) {
    this.instance = instance;
    this.region = region;
    this.configurationVersion = configurationVersion;
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
        List.of(),
        rejection(rejected.reason(), rejected.retryAfter()));
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
        rejection(rejected.reason(), rejected.retryAfter()));
  }

  /**
   * Explains the next step of an admitted request.
   *
   * @param selection the evaluation of the servers; empty if the decision needed none
   */
  RequestExplanation admitted(
      RouteMatch.Found match,
      Optional<RateLimitSnapshot> limit,
      AdmittedRequest request,
      NextStep step,
      Optional<ServerSelection.Selection> selection) {
    return matched(
        match,
        limit.map(state -> limit(state, false)),
        "admitted",
        Optional.of(request.service()),
        selection,
        outcome(step));
  }

  private RequestExplanation matched(
      RouteMatch.Found match,
      Optional<RequestExplanation.Limit> limit,
      String admission,
      Optional<String> service,
      Optional<ServerSelection.Selection> selection,
      RequestExplanation.Outcome outcome) {
    TrafficRoute route = match.route();
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
        Optional.of(route.idempotent()),
        Optional.of(priority),
        admission,
        service,
        selection.map(evaluated -> evaluated.scope().description()),
        selection.map(this::candidates).orElse(List.of()),
        outcome);
  }

  private static RequestExplanation.Limit limit(RateLimitSnapshot state, boolean usedUp) {
    return new RequestExplanation.Limit(
        state.limitPerSecond(), state.demandPerSecond(), state.instances(), state.share(), usedUp);
  }

  private List<RequestExplanation.Candidate> candidates(ServerSelection.Selection selection) {
    List<RequestExplanation.Candidate> candidates = new ArrayList<>();
    for (int rank = 0; rank < selection.candidates().size(); rank++) {
      candidates.add(candidate(selection, rank));
    }
    return candidates;
  }

  private RequestExplanation.Candidate candidate(ServerSelection.Selection selection, int rank) {
    ServerChoice.Candidate candidate = selection.candidates().get(rank);
    ServerState server = candidate.server();
    ServerRegistration registration = server.registration();
    boolean taken = selection.chosen().filter(chosen -> chosen.server() == server).isPresent();
    Optional<Double> expected =
        candidate.usable()
            ? Optional.of(
                ServerChoice.expectedLatencyRatio(
                    candidate, rank, region, selection.sticky(), nowNanoseconds))
            : Optional.empty();
    String reason = selection.verdicts().get(rank).reason();
    if (candidate.usable()) {
      reason = taken ? "lowest expected latency" : "higher expected latency";
    }
    return new RequestExplanation.Candidate(
        registration.identifier(),
        registration.zone(),
        server.region(),
        server.condition(nowNanoseconds).label(),
        server.load(nowNanoseconds),
        registration.slots(),
        server.latencyRatio(nowNanoseconds),
        server.failureRatio(nowNanoseconds),
        server.reportAge(nowNanoseconds).map(Duration::toMillis),
        expected,
        taken,
        reason);
  }

  private static RequestExplanation.Outcome outcome(NextStep step) {
    return switch (step) {
      case NextStep.Send send ->
          new RequestExplanation.Outcome(
              "send",
              Optional.of(send.server().registration().identifier()),
              Optional.empty(),
              Optional.empty(),
              Optional.empty());
      case NextStep.Reject reject -> rejection(reject.reason(), reject.retryAfter());
      case NextStep.Fail unused -> withoutServer("fail");
      case NextStep.Deliver unused -> withoutServer("deliver");
    };
  }

  private static RequestExplanation.Outcome withoutServer(String decision) {
    return new RequestExplanation.Outcome(
        decision, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
  }

  private static RequestExplanation.Outcome rejection(RejectionReason reason, Duration retryAfter) {
    return new RequestExplanation.Outcome(
        "reject",
        Optional.empty(),
        Optional.of(reason),
        Optional.of(retryAfter.toMillis()),
        Optional.empty());
  }
}
