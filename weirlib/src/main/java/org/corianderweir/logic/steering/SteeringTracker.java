package org.corianderweir.logic.steering;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;

/**
 * Keeps the weights in force at one entry instance. Used by the control thread alone.
 *
 * <p>It starts with the weights that the configuration and the wall time give, which the other
 * instances have too. From then on the weights only move by {@link WeightFollower}, whatever
 * changes: selectors, labels, drains, health.
 */
public final class SteeringTracker {
  /** A share below this is nothing. */
  private static final double NEGLIGIBLE_SHARE = 1e-9;

  private final String region;
  private Map<String, Tracked> tracked = new LinkedHashMap<>();
  private long steppedNanoseconds;

  private record Tracked(SelectorPlan plan, double[] shares) {
    Map<CellKey, Double> held() {
      Map<CellKey, Double> held = new HashMap<>();
      for (int index = 0; index < shares.length; index++) {
        if (shares[index] > NEGLIGIBLE_SHARE) {
          held.put(plan.cells().get(index).key(), shares[index]);
        }
      }
      return held;
    }
  }

  /**
   * Creates a tracker without selectors.
   *
   * @param region region of the entry instance
   */
  public SteeringTracker(String region, long nowNanoseconds) {
    this.region = region;
    this.steppedNanoseconds = nowNanoseconds;
  }

  /** Prepares a configuration; the weights stay where they are. */
  public void adopt(Configuration configuration, long wallMilliseconds) {
    List<ServerPlace> places = ServerPlace.of(configuration);
    Map<String, Tracked> next = new LinkedHashMap<>();
    for (Selector selector : configuration.selectors()) {
      Map<CellKey, Double> held = predecessor(selector).map(Tracked::held).orElse(Map.of());
      next.put(selector.name(), track(selector, places, held, wallMilliseconds));
    }
    tracked = next;
  }

  /** Moves the weights towards those that the configuration wants, and returns them. */
  public SteeringTable step(
      CellConditions.ServerView servers, long nowNanoseconds, long wallMilliseconds) {
    long elapsed = nowNanoseconds - steppedNanoseconds;
    steppedNanoseconds = nowNanoseconds;
    List<SteeringTable.Weights> weights = new ArrayList<>(tracked.size());
    for (Map.Entry<String, Tracked> entry : tracked.entrySet()) {
      SelectorPlan plan = entry.getValue().plan();
      CellCondition[] conditions =
          plan.cells().stream()
              .map(cell -> CellConditions.of(cell, servers))
              .toArray(CellCondition[]::new);
      double budget = WeightFollower.budget(plan.selector().capPerSecond(), elapsed);
      double[] shares =
          WeightFollower.step(
              plan.cells(),
              entry.getValue().shares(),
              plan.preferred(wallMilliseconds),
              conditions,
              budget);
      entry.setValue(new Tracked(plan, shares));
      weights.add(new SteeringTable.Weights(plan, shares, conditions));
    }
    return new SteeringTable(weights);
  }

  private Tracked track(
      Selector selector,
      List<ServerPlace> places,
      Map<CellKey, Double> held,
      long wallMilliseconds) {
    SelectorPlan plan = SelectorPlan.prepare(selector, places, region, held.keySet());
    double[] shares =
        plan.cells().stream().mapToDouble(cell -> held.getOrDefault(cell.key(), 0.0)).toArray();
    boolean fresh = Arrays.stream(shares).sum() < NEGLIGIBLE_SHARE;
    return new Tracked(plan, fresh ? plan.preferred(wallMilliseconds) : shares);
  }

  /** Returns the selector of the same name, or else the one that had the traffic until now. */
  private Optional<Tracked> predecessor(Selector selector) {
    Tracked same = tracked.get(selector.name());
    if (same != null) {
      return Optional.of(same);
    }
    return ShiftPlanner.covering(
            tracked.values().stream().map(each -> each.plan().selector()).toList(), selector)
        .map(found -> tracked.get(found.name()));
  }
}
