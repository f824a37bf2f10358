package org.corianderweir.logic.steering.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.CellKey;
import org.corianderweir.logic.steering.ResolvedSelector;
import org.corianderweir.logic.steering.ServerPlace;
import org.corianderweir.logic.steering.ShiftPlanner;
import org.corianderweir.logic.steering.explain.DryRunReport.PlannedShift;
import org.corianderweir.logic.steering.explain.DryRunReport.ZoneShares;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;

/**
 * Computes the shifts that a change would cause, without applying it. A pure function of the
 * configurations before and after the change, the observed state of the servers and the wall time.
 */
public final class DryRun {
  private static final double NEGLIGIBLE_SHARE = 1e-9;

  private final Configuration before;
  private final Configuration after;
  private final List<ServerPlace> placesBefore;
  private final List<ServerPlace> placesAfter;
  private final long wallMilliseconds;
  private final CapacityCheck capacity;

  private DryRun(
      Configuration before,
      Configuration after,
      CellConditionEvaluator.ServerView servers,
      long wallMilliseconds) {
    this.before = before;
    this.after = after;
    this.wallMilliseconds = wallMilliseconds;
    placesBefore = ServerPlace.of(before);
    placesAfter = ServerPlace.of(after);
    capacity = new CapacityCheck(after, servers);
  }

  /**
   * Returns the effects of a change.
   *
   * @param before configuration in force
   * @param after configuration that results from the change
   * @param servers observed state of the backend servers
   */
  public static DryRunReport report(
      Configuration before,
      Configuration after,
      CellConditionEvaluator.ServerView servers,
      long wallMilliseconds) {
    return new DryRun(before, after, servers, wallMilliseconds).report();
  }

  private DryRunReport report() {
    List<PlannedShift> shifts = new ArrayList<>();
    List<String> problems = new ArrayList<>();
    for (Selector selector : after.selectors()) {
      PlannedShift shift = planShift(selector, problems);
      if (shift.movedShare() > NEGLIGIBLE_SHARE) {
        shifts.add(shift);
      }
      problems.addAll(capacity.problems(selector, shift.zones()));
    }
    return new DryRunReport(before.revision(), shifts, problems);
  }

  private PlannedShift planShift(Selector selector, List<String> problems) {
    List<ZoneShares> zones = new ArrayList<>();
    double moved = 0;
    for (String callerRegion : callerRegions()) {
      Map<CellKey, Double> previousShares = sharesBefore(selector, callerRegion);
      ResolvedSelector target = targetSelector(selector, callerRegion);
      Map<CellKey, Double> targetShares = sharesByCell(target);
      if (!previousShares.isEmpty()) {
        moved = Math.max(moved, distance(previousShares, targetShares));
        addStrandedTrafficProblem(selector, callerRegion, previousShares, problems);
      }
      zones.addAll(zoneShares(callerRegion, previousShares, target));
    }
    return new PlannedShift(
        selector.name(), moved, selector.capPerSecond(), moved / selector.capPerSecond(), zones);
  }

  private TreeSet<String> callerRegions() {
    TreeSet<String> regions = new TreeSet<>();
    after.zones().stream().map(AvailabilityZone::region).forEach(regions::add);
    return regions;
  }

  private ResolvedSelector targetSelector(Selector selector, String callerRegion) {
    Selector settled = selector.toBuilder().shift(Optional.empty()).build();
    return ResolvedSelector.resolve(settled, placesAfter, callerRegion, List.of());
  }

  private Map<CellKey, Double> sharesBefore(Selector selector, String callerRegion) {
    Optional<Selector> same =
        before.selectors().stream()
            .filter(existing -> existing.name().equals(selector.name()))
            .findFirst();
    return same.or(() -> ShiftPlanner.findCovering(before.selectors(), selector))
        .map(existing -> ResolvedSelector.resolve(existing, placesBefore, callerRegion, List.of()))
        .map(this::sharesByCell)
        .orElse(Map.of());
  }

  private Map<CellKey, Double> sharesByCell(ResolvedSelector resolved) {
    double[] shares = resolved.desiredShares(wallMilliseconds);
    Map<CellKey, Double> byCell = new HashMap<>();
    for (int index = 0; index < shares.length; index++) {
      if (shares[index] > 0) {
        byCell.put(resolved.cells().get(index).key(), shares[index]);
      }
    }
    return byCell;
  }

  /** Reports shares of the traffic whose servers all become ineligible with the change. */
  private void addStrandedTrafficProblem(
      Selector selector,
      String callerRegion,
      Map<CellKey, Double> previousShares,
      List<String> problems) {
    ResolvedSelector resolved =
        ResolvedSelector.resolve(selector, placesAfter, callerRegion, previousShares.keySet());
    double share =
        resolved.cells().stream()
            .filter(cell -> cell.servers().isEmpty())
            .mapToDouble(cell -> previousShares.getOrDefault(cell.key(), 0.0))
            .sum();
    if (share > NEGLIGIBLE_SHARE) {
      problems.add(
          ("selector %s: %.1f%% of the traffic from %s loses its servers at once and waits"
                  + " or is refused until it has moved, up to %.1f s; shift it away first")
              .formatted(
                  selector.name(), share * 100, callerRegion, share / selector.capPerSecond()));
    }
  }

  private List<ZoneShares> zoneShares(
      String callerRegion, Map<CellKey, Double> previousShares, ResolvedSelector target) {
    Map<String, Double> previousByZone = sharesByZone(previousShares);
    Map<String, Double> targetByZone = sharesByZone(sharesByCell(target));
    Map<String, Integer> slots = new TreeMap<>();
    previousByZone.keySet().forEach(zone -> slots.put(zone, 0));
    target.cells().stream()
        .flatMap(cell -> cell.servers().stream())
        .distinct()
        .forEach(server -> slots.merge(server.availabilityZone(), server.slots(), Integer::sum));
    List<ZoneShares> zones = new ArrayList<>();
    slots.forEach(
        (zone, count) ->
            zones.add(
                new ZoneShares(
                    callerRegion,
                    regionOf(zone),
                    zone,
                    previousByZone.getOrDefault(zone, 0.0),
                    targetByZone.getOrDefault(zone, 0.0),
                    count)));
    return zones;
  }

  private String regionOf(String zone) {
    return after.zones().stream()
        .filter(existing -> existing.name().equals(zone))
        .map(AvailabilityZone::region)
        .findFirst()
        .orElse("");
  }

  private static Map<String, Double> sharesByZone(Map<CellKey, Double> shares) {
    Map<String, Double> byZone = new HashMap<>();
    shares.forEach((cell, share) -> byZone.merge(cell.availabilityZone(), share, Double::sum));
    return byZone;
  }

  private static double distance(Map<CellKey, Double> left, Map<CellKey, Double> right) {
    Map<CellKey, Double> differences = new HashMap<>(left);
    right.forEach((cell, share) -> differences.merge(cell, -share, Double::sum));
    return differences.values().stream().mapToDouble(Math::abs).sum() / 2;
  }
}
