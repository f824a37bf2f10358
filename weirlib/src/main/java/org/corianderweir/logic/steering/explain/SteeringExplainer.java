package org.corianderweir.logic.steering.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.CellCondition;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.RouteMatch;
import org.corianderweir.logic.steering.RouteMatcher;
import org.corianderweir.logic.steering.ServerPlace;
import org.corianderweir.logic.steering.ShiftSchedule;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.steering.explain.Explanation.Candidate;
import org.corianderweir.logic.steering.explain.Explanation.Stage;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.DestinationShare;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Selector;

/**
 * Lists the candidates of each steering stage for a sample request, with the reason why each one is
 * kept or excluded.
 */
public final class SteeringExplainer {
  private final Configuration configuration;
  private final SteeringTable table;
  private final CellConditionEvaluator.ServerView servers;
  private final long wallMilliseconds;

  /**
   * Creates an explainer.
   *
   * @param table weights in force at this entry instance
   * @param servers state of the backend servers as observed by this entry instance
   */
  public SteeringExplainer(
      Configuration configuration,
      SteeringTable table,
      CellConditionEvaluator.ServerView servers,
      long wallMilliseconds) {
    this.configuration = configuration;
    this.table = table;
    this.servers = servers;
    this.wallMilliseconds = wallMilliseconds;
  }

  /**
   * Explains how a request would be steered.
   *
   * @param path path of the request
   * @param organisation organisation of the request's key; empty if the request has no key
   */
  public Explanation explain(String path, Optional<String> organisation) {
    List<Stage> stages = new ArrayList<>();
    RouteMatch route = new RouteMatcher(configuration.selectors()).match(path);
    stages.add(selectorStage(path, route));
    if (!(route instanceof RouteMatch.Found found)) {
      return explanation("refused, not run: no selector covers " + path, stages);
    }
    Selector selector = found.selector();
    Stage organisationStage = organisationStage(selector, organisation);
    stages.add(organisationStage);
    if (!organisationStage.hasKeptCandidate()) {
      return explanation("refused, not run: the route is not for this caller", stages);
    }
    stages.add(destinationStage(selector));
    stages.add(serverStage(selector));
    stages.add(zoneStage(selector));
    Stage candidates = candidateStage(selector);
    stages.add(candidates);
    String outcome =
        candidates.hasKeptCandidate()
            ? "answered by one of the backend servers that are left"
            : "waits within its deadline, else refused, not run: no backend server is left";
    return explanation(outcome, stages);
  }

  private Explanation explanation(String outcome, List<Stage> stages) {
    return new Explanation(configuration.revision(), outcome, stages);
  }

  private Stage selectorStage(String path, RouteMatch route) {
    List<Candidate> candidates = new ArrayList<>();
    for (Selector selector : configuration.selectors()) {
      boolean matches = path.startsWith(selector.pathPrefix());
      boolean chosen = route instanceof RouteMatch.Found found && found.selector().equals(selector);
      String matchReason = "the path begins with " + selector.pathPrefix();
      String reason =
          matches
              ? matchReason + (chosen ? "" : ", but another selector has a longer prefix")
              : "the path does not begin with " + selector.pathPrefix();
      candidates.add(new Candidate(selector.name(), chosen, reason));
    }
    return new Stage("selector", candidates);
  }

  private static Stage organisationStage(Selector selector, Optional<String> organisation) {
    String name = organisation.orElse("no key");
    if (selector.open()) {
      return new Stage(
          "organisation", List.of(new Candidate(name, true, "the route is open to all")));
    }
    if (organisation.isEmpty()) {
      return new Stage(
          "organisation", List.of(new Candidate(name, false, "the route needs a key")));
    }
    List<String> allowed = selector.organisations();
    boolean kept = allowed.isEmpty() || allowed.contains(name);
    String reason =
        allowed.isEmpty()
            ? "the route is for every organisation"
            : "the route is for " + String.join(", ", allowed);
    return new Stage("organisation", List.of(new Candidate(name, kept, reason)));
  }

  private Stage destinationStage(Selector selector) {
    List<DestinationShare> targets = ShiftSchedule.targetShares(selector);
    List<Candidate> candidates = new ArrayList<>();
    for (DestinationShare current : ShiftSchedule.sharesAt(selector, wallMilliseconds)) {
      double target =
          targets.stream()
              .filter(
                  destinationShare -> destinationShare.conditions().equals(current.conditions()))
              .mapToDouble(DestinationShare::share)
              .sum();
      String reason = percent(current.share()) + " of the traffic, to become " + percent(target);
      candidates.add(
          new Candidate(
              SelectorFormatter.formatConditions(current.conditions()),
              current.share() > 0,
              reason));
    }
    return new Stage("destination", candidates);
  }

  private Stage serverStage(Selector selector) {
    List<Candidate> candidates = new ArrayList<>();
    for (ServerPlace place : ServerPlace.of(configuration)) {
      Optional<String> exclusionReason = exclusionReason(selector, place);
      candidates.add(
          new Candidate(
              place.server().name(),
              exclusionReason.isEmpty(),
              exclusionReason.orElse("runs the service and matches a destination")));
    }
    return new Stage("eligible backend server", candidates);
  }

  /** Returns the servers of a selector's service that no destination has, with the reasons. */
  public List<Candidate> ineligibleServers(Selector selector) {
    List<Candidate> candidates = new ArrayList<>();
    for (ServerPlace place : ServerPlace.of(configuration)) {
      if (place.server().service().equals(selector.service())) {
        exclusionReason(selector, place)
            .ifPresent(
                reason -> candidates.add(new Candidate(place.server().name(), false, reason)));
      }
    }
    return candidates;
  }

  private Optional<String> exclusionReason(Selector selector, ServerPlace place) {
    if (!place.server().service().equals(selector.service())) {
      return Optional.of("runs service " + place.server().service());
    }
    if (place.server().drained()) {
      return Optional.of("is drained");
    }
    List<String> mismatches = new ArrayList<>();
    for (DestinationShare destinationShare : ShiftSchedule.sharesAt(selector, wallMilliseconds)) {
      Optional<LabelCondition> failed =
          destinationShare.conditions().stream()
              .filter(condition -> !place.matches(condition))
              .findFirst();
      if (failed.isEmpty()) {
        return Optional.empty();
      }
      String actual = place.actualValue(failed.get()).orElse("absent");
      mismatches.add(
          SelectorFormatter.formatConditions(List.of(failed.get()))
              + " does not hold ("
              + actual
              + ")");
    }
    return Optional.of(String.join("; ", mismatches));
  }

  private Stage zoneStage(Selector selector) {
    List<Candidate> candidates = new ArrayList<>();
    for (SteeringTable.Weights weights : weights(selector)) {
      double[] desired = weights.resolvedSelector().desiredShares(wallMilliseconds);
      for (int index = 0; index < desired.length; index++) {
        Cell cell = weights.resolvedSelector().cells().get(index);
        String reason =
            percent(weights.shares()[index])
                + " of the traffic here, to become "
                + percent(desired[index])
                + "; "
                + describe(weights.conditions()[index])
                + (cell.local() ? "" : "; another region");
        candidates.add(new Candidate(name(cell), weights.shares()[index] > 0, reason));
      }
    }
    return new Stage("region and zone", candidates);
  }

  private Stage candidateStage(Selector selector) {
    List<Candidate> candidates = new ArrayList<>();
    for (SteeringTable.Weights weights : weights(selector)) {
      for (int index = 0; index < weights.shares().length; index++) {
        Cell cell = weights.resolvedSelector().cells().get(index);
        if (weights.shares()[index] > 0) {
          cell.servers().forEach(server -> candidates.add(candidate(server.name(), cell)));
        }
      }
    }
    return new Stage("backend server", candidates);
  }

  private Candidate candidate(String name, Cell cell) {
    CellConditionEvaluator.ServerCondition condition =
        cell.servers().stream()
            .filter(server -> server.name().equals(name))
            .map(servers::conditionOf)
            .findFirst()
            .orElseThrow();
    String load =
        condition.measured()
            ? Math.round(condition.utilisation() * 100) + "% of its slots in use"
            : "its load is not known";
    String health = condition.healthy() ? "healthy" : "unhealthy";
    String reason = condition.reachable() ? health + ", " + load : "can't be reached";
    return new Candidate(name, condition.reachable(), reason);
  }

  private List<SteeringTable.Weights> weights(Selector selector) {
    return table.weights().stream()
        .filter(weights -> weights.resolvedSelector().selector().name().equals(selector.name()))
        .toList();
  }

  private static String name(Cell cell) {
    return cell.key().availabilityZone()
        + " ("
        + SelectorFormatter.formatConditions(cell.key().conditions())
        + ")";
  }

  private static String describe(CellCondition condition) {
    return switch (condition) {
      case READY -> "ready for more";
      case UNMEASURED -> "gets no more: no fresh measurements";
      case UNHEALTHY -> "gets no more: poor health";
      case BUSY -> "gets no more: little headroom";
      case FULL -> "loses traffic: no headroom";
      case DEAD -> "loses traffic: no server can be reached";
    };
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * 100);
  }
}
