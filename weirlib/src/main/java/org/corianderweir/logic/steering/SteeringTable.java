package org.corianderweir.logic.steering;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The weights in force at one entry instance. Immutable. Steering a request takes one hash look-up
 * and one binary search, and allocates nothing.
 */
public final class SteeringTable {
  /** A table without selectors. */
  public static final SteeringTable EMPTY = new SteeringTable(List.of());

  private static final SteeringDecision SELECTOR_UNKNOWN =
      new SteeringDecision.Unavailable(SteeringDecision.UnavailableReason.SELECTOR_UNKNOWN);
  private static final SteeringDecision NO_SERVER =
      new SteeringDecision.Unavailable(SteeringDecision.UnavailableReason.NO_SERVER);
  private static final SteeringDecision MOVING =
      new SteeringDecision.Unavailable(SteeringDecision.UnavailableReason.MOVING);

  private final Map<String, Row> rows = new HashMap<>();
  private final List<Weights> weights;

  /**
   * The weights of a selector.
   *
   * @param resolvedSelector the resolved selector
   * @param shares share of each cell, in the order of the resolved selector's cells
   * @param conditions condition of each cell, in the same order
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Weights(
      ResolvedSelector resolvedSelector, double[] shares, CellCondition[] conditions) {}

  private record Row(double[] upperBounds, SteeringDecision[] decisions) {}

  /** Creates a table. */
  public SteeringTable(List<Weights> weights) {
    this.weights = List.copyOf(weights);
    weights.forEach(entry -> rows.put(entry.resolvedSelector().selector().name(), row(entry)));
  }

  /**
   * Decides to which backend servers a request may be sent.
   *
   * @param selector name of the selector that matches the request
   * @param draw uniform random number of the request from 0 (inclusive) to 1 (exclusive); the same
   *     one when the request is steered again
   */
  public SteeringDecision steer(String selector, double draw) {
    Row row = rows.get(selector);
    if (row == null) {
      return SELECTOR_UNKNOWN;
    }
    double[] upperBounds = row.upperBounds();
    if (upperBounds.length == 0) {
      return NO_SERVER;
    }
    int found = Arrays.binarySearch(upperBounds, draw * upperBounds[upperBounds.length - 1]);
    int index = found >= 0 ? found + 1 : -found - 1;
    return row.decisions()[Math.min(index, upperBounds.length - 1)];
  }

  /** Returns the weights of all selectors. */
  public List<Weights> weights() {
    return weights;
  }

  private static Row row(Weights entry) {
    List<Cell> cells = entry.resolvedSelector().cells();
    double[] upperBounds = new double[cells.size()];
    SteeringDecision[] decisions = new SteeringDecision[cells.size()];
    int used = 0;
    double total = 0;
    for (int index = 0; index < cells.size(); index++) {
      if (entry.shares()[index] > 0) {
        total += entry.shares()[index];
        upperBounds[used] = total;
        boolean unreachable = entry.conditions()[index] == CellCondition.DEAD;
        decisions[used] = unreachable ? MOVING : new SteeringDecision.Candidates(cells.get(index));
        used++;
      }
    }
    return new Row(Arrays.copyOf(upperBounds, used), Arrays.copyOf(decisions, used));
  }
}
