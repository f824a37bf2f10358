package org.corianderweir.daemon.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.corianderweir.daemon.control.LimitService;
import org.corianderweir.daemon.steering.CapacityLimiter;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.logic.delivery.ServerSelection;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.limits.AdmissionPreview;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.RouteMatch;
import org.corianderweir.logic.steering.SteeringDecision;
import org.corianderweir.logic.steering.explain.Explanation;
import org.corianderweir.logic.steering.explain.SteeringExplainer;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.protocol.operator.ExplainMessages;
import org.corianderweir.protocol.operator.RequestSample;

/**
 * Explains what this instance would do with a request. Goes through the decisions of the {@link
 * RequestPipeline} and of {@link Delivery}, and uses up nothing.
 */
final class TrafficExplainer {
  private static final String ADMITTED = "admitted";
  private static final String HEALTHY = "healthy";

  private final EntryInstance self;
  private final long bodyLimitBytes;
  private final LimitService limits;
  private final CapacityLimiter capacity;
  private final Delivery delivery;
  private final CellConditionEvaluator.ServerView serverView;

  /**
   * Creates an explainer.
   *
   * @param bodyLimitBytes largest body that the listener for callers accepts
   */
  TrafficExplainer(
      EntryInstance self,
      long bodyLimitBytes,
      LimitService limits,
      CapacityLimiter capacity,
      Delivery delivery) {
    this.self = self;
    this.bodyLimitBytes = bodyLimitBytes;
    this.limits = limits;
    this.capacity = capacity;
    this.delivery = delivery;
    serverView = delivery::condition;
  }

  /**
   * Explains a request.
   *
   * @param snapshot the configuration that applies; empty if the instance serves nothing yet
   * @param freshness from which it follows whether keys may be accepted
   * @throws WeirException with code {@code JSON_INVALID} if the request is not well-formed
   */
  RequestExplanation explain(
      ExplainMessages.ExplainedRequest request,
      Optional<TrafficSnapshot> snapshot,
      KeyFreshnessView freshness,
      long nowNanoseconds,
      long wallMilliseconds) {
    requireValid(request.sample());
    Draft draft = new Draft(request, freshness, nowNanoseconds, wallMilliseconds);
    return snapshot
        .map(draft::explain)
        .orElseGet(() -> draft.refused(RefusalReason.NOT_SERVING, Duration.ofSeconds(1)));
  }

  private void requireValid(RequestSample sample) {
    if (sample.hasInvalidFigures()) {
      throw new WeirException(ErrorCode.JSON_INVALID, "a length or a deadline is negative");
    }
    if (!sample.region().orElse(self.region()).equals(self.region())) {
      throw new WeirException(
          ErrorCode.JSON_INVALID,
          self.name() + " explains requests that arrive in " + self.region() + " only");
    }
  }

  /** The explanation of one request, as far as it is known. */
  private final class Draft {
    private final ExplainMessages.ExplainedRequest request;
    private final KeyFreshnessView freshness;
    private final long nowNanoseconds;
    private final long wallMilliseconds;
    private final long deadlineNanoseconds;
    private long revision;
    private Optional<Selector> selector = Optional.empty();
    private Optional<String> organisation = Optional.empty();
    private Optional<RequestExplanation.Limit> limit = Optional.empty();
    private Optional<String> scope = Optional.empty();
    private String admission = ADMITTED;
    private final List<RequestExplanation.Candidate> candidates = new ArrayList<>();

    Draft(
        ExplainMessages.ExplainedRequest request,
        KeyFreshnessView freshness,
        long nowNanoseconds,
        long wallMilliseconds) {
      this.request = request;
      this.freshness = freshness;
      this.nowNanoseconds = nowNanoseconds;
      this.wallMilliseconds = wallMilliseconds;
      deadlineNanoseconds =
          RequestPipeline.deadlineNanoseconds(
              request.sample().deadlineMilliseconds(), nowNanoseconds);
    }

    RequestExplanation explain(TrafficSnapshot snapshot) {
      revision = snapshot.configuration().revision();
      if (request.sample().bodyBytes() > bodyLimitBytes) {
        return refused(RefusalReason.BODY_TOO_LARGE, Duration.ZERO);
      }
      return switch (snapshot.routes().match(request.sample().path())) {
        case RouteMatch.NotFound unused -> refused(RefusalReason.NO_ROUTE, Duration.ZERO);
        case RouteMatch.Found found -> {
          selector = Optional.of(found.selector());
          yield authorise(snapshot, found.selector());
        }
      };
    }

    private RequestExplanation authorise(TrafficSnapshot snapshot, Selector found) {
      KeyAuthoriser authoriser = new KeyAuthoriser(() -> freshness);
      return switch (authoriser.authorise(found, request.key(), snapshot.keys(), nowNanoseconds)) {
        case KeyAuthoriser.Authorisation.Refused refused ->
            refused(refused.reason(), Duration.ZERO);
        case KeyAuthoriser.Authorisation.Accepted accepted -> {
          organisation = accepted.organisation();
          yield admit(snapshot, found);
        }
      };
    }

    private RequestExplanation admit(TrafficSnapshot snapshot, Selector found) {
      AdmissionPreview preview =
          organisation
              .map(name -> limits.preview(name, deadlineNanoseconds, nowNanoseconds))
              .orElseGet(AdmissionPreview.Admitted::new);
      limit =
          snapshot.configuration().organisations().stream()
              .filter(known -> organisation.filter(known.name()::equals).isPresent())
              .findFirst()
              .map(known -> limit(known, preview));
      return switch (preview) {
        case AdmissionPreview.Admitted unused -> deliver(snapshot, found);
        case AdmissionPreview.Queued unused -> {
          admission = "waits for the limit of the organisation";
          yield waiting();
        }
        case AdmissionPreview.Refused refused ->
            refused(
                RefusalReason.RATE_EXCEEDED, Duration.ofMillis(refused.retryAfterMilliseconds()));
      };
    }

    private RequestExplanation.Limit limit(Organisation known, AdmissionPreview preview) {
      double rate = known.requestsPerSecond();
      double held = limits.heldRate(known.name(), nowNanoseconds);
      return new RequestExplanation.Limit(
          rate,
          Optional.empty(),
          Optional.empty(),
          rate > 0 ? held / rate : 0,
          !(preview instanceof AdmissionPreview.Admitted));
    }

    private RequestExplanation deliver(TrafficSnapshot snapshot, Selector found) {
      // The draws are ones that the decision could make as well.
      SplittableRandom random = new SplittableRandom(nowNanoseconds);
      Optional<BackendServer> server =
          switch (snapshot.steer(found.name(), random.nextDouble())) {
            case SteeringDecision.Unavailable unavailable -> {
              scope = Optional.of("no server: " + unavailable.reason());
              yield Optional.empty();
            }
            case SteeringDecision.Candidates drawn -> choose(found, drawn.cell(), random);
          };
      new SteeringExplainer(
              snapshot.configuration(), snapshot.steering().get(), serverView, wallMilliseconds)
          .ineligibleServers(found)
          .forEach(excluded -> add(snapshot, excluded));
      return server
          .map(chosen -> explanation(RequestExplanation.Outcome.send(chosen.name())))
          .orElseGet(this::waiting);
    }

    private Optional<BackendServer> choose(Selector found, Cell cell, SplittableRandom random) {
      List<ServerSelection.Candidate<BackendServer>> servers =
          delivery.explainedCandidates(cell, nowNanoseconds);
      List<ServerSelection.Verdict> verdicts = ServerSelection.verdicts(servers, nowNanoseconds);
      Optional<BackendServer> chosen =
          ServerSelection.choose(servers, random, nowNanoseconds)
              .map(ServerSelection.Candidate::server);
      Optional<String> obstacle =
          delivery.hasPendingRequests(found.name(), cell.servers())
              ? Optional.of("earlier requests wait for the servers")
              : capacity
                  .reachedLimit(
                      cell,
                      found.name(),
                      request.sample().bodyBytes(),
                      deadlineNanoseconds,
                      nowNanoseconds)
                  .map(reached -> reached + " is used up");
      scope =
          Optional.of(
              "%s in %s, drawn by weight%s"
                  .formatted(
                      SelectorFormatter.formatConditions(cell.key().conditions()),
                      cell.key().availabilityZone(),
                      obstacle.map(text -> "; " + text).orElse("")));
      for (int index = 0; index < servers.size(); index++) {
        ServerSelection.Candidate<BackendServer> candidate = servers.get(index);
        boolean best = chosen.filter(candidate.server()::equals).isPresent();
        candidates.add(
            candidate(
                candidate.server(),
                cell.region(),
                condition(verdicts.get(index)),
                best && obstacle.isEmpty(),
                reason(verdicts.get(index), best, obstacle)));
      }
      return obstacle.isEmpty() ? chosen : Optional.empty();
    }

    private void add(TrafficSnapshot snapshot, Explanation.Candidate excluded) {
      snapshot.configuration().backendServers().stream()
          .filter(server -> server.name().equals(excluded.name()))
          .findFirst()
          .ifPresent(
              server ->
                  candidates.add(
                      candidate(
                          server,
                          "",
                          server.drained() ? "draining" : HEALTHY,
                          false,
                          excluded.reason())));
    }

    private RequestExplanation.Candidate candidate(
        BackendServer server, String region, String condition, boolean taken, String reason) {
      return new RequestExplanation.Candidate(
          server.name(),
          server.availabilityZone(),
          region,
          condition,
          delivery.inFlight(server),
          server.slots(),
          1,
          1,
          0,
          Optional.empty(),
          Optional.empty(),
          taken,
          reason);
    }

    private RequestExplanation waiting() {
      return explanation(
          RequestExplanation.Outcome.waiting(
              TimeUnit.NANOSECONDS.toMillis(deadlineNanoseconds - nowNanoseconds)));
    }

    RequestExplanation refused(RefusalReason reason, Duration retryAfter) {
      admission = "rejected: " + reason.code();
      return explanation(
          RequestExplanation.Outcome.reject(reason.code(), retryAfter.toMillis())
              .withStatus(reason.httpStatus()));
    }

    private RequestExplanation explanation(RequestExplanation.Outcome outcome) {
      RequestKind kind =
          RetryPolicy.isIdempotent(request.sample().method())
              ? RequestKind.SAFE
              : RequestKind.UNSAFE;
      Optional<Long> age =
          freshness.confirmed()
              ? Optional.of(
                  TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - freshness.asOfNanoseconds()))
              : Optional.empty();
      return new RequestExplanation(
          self.name(),
          self.region(),
          revision,
          selector.map(Selector::name),
          organisation,
          limit,
          selector.map(unused -> kind.label()),
          Optional.empty(),
          admission,
          selector.map(Selector::service),
          Optional.empty(),
          scope,
          candidates,
          outcome,
          Optional.of(new RequestExplanation.Basis(revision, age)));
    }
  }

  private static String condition(ServerSelection.Verdict verdict) {
    return verdict == ServerSelection.Verdict.AVAILABLE
        ? HEALTHY
        : verdict.name().toLowerCase(Locale.ROOT);
  }

  private static String reason(
      ServerSelection.Verdict verdict, boolean best, Optional<String> obstacle) {
    if (best) {
      return "drawn, lower expected wait of two" + obstacle.map(text -> ", but " + text).orElse("");
    }
    return verdict == ServerSelection.Verdict.AVAILABLE
        ? "not drawn, or higher expected wait of two"
        : verdict.reason();
  }
}
