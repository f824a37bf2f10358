package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A load and what happens while it runs.
 *
 * @param name unique name
 * @param surgeFactor demand of the first organisation as a multiple of its rate for a while; zero
 *     means that it stays as usual
 * @param singleZone whether all keyed requests come from the first zone
 * @param actions what happens when
 */
public record Scenario(
    String name, double surgeFactor, boolean singleZone, List<TimedAction> actions) {
  /** Copies the list. */
  public Scenario {
    actions = List.copyOf(actions);
  }

  /**
   * An action and its time since the start of the load.
   *
   * @param at when it is done
   * @param action what is done
   */
  public record TimedAction(Duration at, Action action) {}

  /** Returns a scenario in which both happen at once. */
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
