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
 * Maintains the weights in force at one entry instance. Confined to the control thread.
 *
 * <p>It starts with the weights that follow from the configuration and the wall time, which are the
 * same at the other instances. From then on the weights change only by {@link WeightTransition},
 * whether the cause is a change of selectors, labels, drains or health.
 */
public final class SteeringTracker {
  /** Shares up to this count as zero. */
  private static final double NEGLIGIBLE_SHARE = 1e-9;

  private final String region;
  private Map<String, TrackedSelector> tracked = new LinkedHashMap<>();
  private long lastStepNanoseconds;

  private record TrackedSelector(ResolvedSelector resolvedSelector, double[] shares) {
    Map<CellKey, Double> sharesByCell() {
      Map<CellKey, Double> sharesByCell = new HashMap<>();
      for (int index = 0; index < shares.length; index++) {
        if (shares[index] > NEGLIGIBLE_SHARE) {
          sharesByCell.put(resolvedSelector.cells().get(index).key(), shares[index]);
        }
      }
      return sharesByCell;
    }
  }

  /**
   * Creates a tracker without selectors.
   *
   * @param region region of the entry instance
   */
  public SteeringTracker(String region, long nowNanoseconds) {
    this.region = region;
    this.lastStepNanoseconds = nowNanoseconds;
  }

  /**
   * Resolves the selectors of a new configuration. A selector that is tracked already keeps its
   * current shares, and a new one starts from the shares of the selector whose traffic it takes
   * over. If there is no such selector, it starts with the desired shares.
   */
  public void applyConfiguration(Configuration configuration, long wallMilliseconds) {
    List<ServerPlace> places = ServerPlace.of(configuration);
    Map<String, TrackedSelector> next = new LinkedHashMap<>();
    for (Selector selector : configuration.selectors()) {
      Map<CellKey, Double> previousShares =
          predecessor(selector).map(TrackedSelector::sharesByCell).orElse(Map.of());
      next.put(selector.name(), track(selector, places, previousShares, wallMilliseconds));
    }
    tracked = next;
  }

  /** Moves the weights towards the desired ones by one step, and returns them. */
  public SteeringTable step(
      CellConditionEvaluator.ServerView servers, long nowNanoseconds, long wallMilliseconds) {
    long elapsedNanoseconds = nowNanoseconds - lastStepNanoseconds;
    lastStepNanoseconds = nowNanoseconds;
    List<SteeringTable.Weights> weights = new ArrayList<>(tracked.size());
    for (Map.Entry<String, TrackedSelector> entry : tracked.entrySet()) {
      ResolvedSelector resolved = entry.getValue().resolvedSelector();
      CellCondition[] conditions =
          resolved.cells().stream()
              .map(cell -> CellConditionEvaluator.evaluate(cell, servers))
              .toArray(CellCondition[]::new);
      double movableShare =
          WeightTransition.movableShare(resolved.selector().capPerSecond(), elapsedNanoseconds);
      double[] shares =
          WeightTransition.step(
              resolved.cells(),
              entry.getValue().shares(),
              resolved.desiredShares(wallMilliseconds),
              conditions,
              movableShare);
      entry.setValue(new TrackedSelector(resolved, shares));
      weights.add(new SteeringTable.Weights(resolved, shares, conditions));
    }
    return new SteeringTable(weights);
  }

  private TrackedSelector track(
      Selector selector,
      List<ServerPlace> places,
      Map<CellKey, Double> previousShares,
      long wallMilliseconds) {
    ResolvedSelector resolved =
        ResolvedSelector.resolve(selector, places, region, previousShares.keySet());
    double[] shares =
        resolved.cells().stream()
            .mapToDouble(cell -> previousShares.getOrDefault(cell.key(), 0.0))
            .toArray();
    boolean newlyTracked = Arrays.stream(shares).sum() < NEGLIGIBLE_SHARE;
    return new TrackedSelector(
        resolved, newlyTracked ? resolved.desiredShares(wallMilliseconds) : shares);
  }

  /** Returns the tracked selector of the same name, or else the one whose traffic it takes over. */
  private Optional<TrackedSelector> predecessor(Selector selector) {
    TrackedSelector same = tracked.get(selector.name());
    if (same != null) {
      return Optional.of(same);
    }
    return ShiftPlanner.findCovering(
            tracked.values().stream().map(each -> each.resolvedSelector().selector()).toList(),
            selector)
        .map(found -> tracked.get(found.name()));
  }
}
