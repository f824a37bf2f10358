package org.corianderweir.logic.steering;

import org.corianderweir.model.configuration.BackendServer;

/** Determines the condition of a cell from the observed state of its servers. */
public final class CellConditionEvaluator {
  /** The share of a cell above this utilisation does not grow. */
  public static final double BUSY_UTILISATION_RATIO = 0.75;

  /** The share of a cell above this utilisation moves to other cells. */
  public static final double FULL_UTILISATION_RATIO = 0.92;

  /** A cell counts as unhealthy if less than this part of its slots is at healthy servers. */
  private static final double UNHEALTHY_SLOTS_RATIO = 0.5;

  private CellConditionEvaluator() {}

  /** Gives the observed state of the backend servers. */
  public interface ServerView {
    /** Returns the current observed state of a server. */
    ServerCondition conditionOf(BackendServer server);
  }

  /**
   * The observed state of a backend server.
   *
   * @param reachable whether requests can be sent to it
   * @param healthy whether it answers requests correctly
   * @param measured whether there is a recent load report
   * @param utilisation part of its slots in use, from 0 to 1; meaningless if not measured
   */
  public record ServerCondition(
      boolean reachable, boolean healthy, boolean measured, double utilisation) {}

  /** Returns the condition of a cell. */
  public static CellCondition evaluate(Cell cell, ServerView view) {
    double reachableSlots = 0;
    double healthySlots = 0;
    double measuredSlots = 0;
    double usedSlots = 0;
    for (BackendServer server : cell.servers()) {
      ServerCondition condition = view.conditionOf(server);
      if (condition.reachable()) {
        reachableSlots += server.slots();
        healthySlots += condition.healthy() ? server.slots() : 0;
        measuredSlots += condition.measured() ? server.slots() : 0;
        usedSlots += condition.measured() ? server.slots() * condition.utilisation() : 0;
      }
    }
    if (reachableSlots == 0) {
      return CellCondition.DEAD;
    }
    if (measuredSlots == 0) {
      return CellCondition.UNMEASURED;
    }
    double utilisation = usedSlots / measuredSlots;
    if (utilisation > FULL_UTILISATION_RATIO) {
      return CellCondition.FULL;
    }
    if (healthySlots < cell.slots() * UNHEALTHY_SLOTS_RATIO) {
      return CellCondition.UNHEALTHY;
    }
    return utilisation > BUSY_UTILISATION_RATIO ? CellCondition.BUSY : CellCondition.READY;
  }
}
