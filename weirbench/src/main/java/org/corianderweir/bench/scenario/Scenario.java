package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A pattern of load, with the changes and faults that happen while it runs.
 *
 * @param name unique name
 * @param surgeFactor demand of the first organisation during a surge, as a multiple of its rate;
 *     zero means that there is no surge
 * @param singleZone whether all keyed requests come from the first zone
 * @param actions actions with their times
 */
public record Scenario(
    String name, double surgeFactor, boolean singleZone, List<TimedAction> actions) {
  /** Makes an immutable copy of the list. */
  public Scenario {
    actions = List.copyOf(actions);
  }

  /**
   * An action and its time.
   *
   * @param at time since the end of the warm-up
   * @param action action to run
   */
  public record TimedAction(Duration at, Action action) {}

  /** Returns a scenario that combines the load and the actions of both. */
  public Scenario combinedWith(Scenario other) {
    List<TimedAction> both = new ArrayList<>(actions);
    both.addAll(other.actions);
    return new Scenario(
        name + "+" + other.name,
        Math.max(surgeFactor, other.surgeFactor),
        singleZone || other.singleZone,
        both);
  }
}
