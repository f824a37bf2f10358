package org.corianderweir.logic.steering;

import org.corianderweir.model.configuration.Shift;

/** How the traffic of a selector moves at an entry instance. */
public enum ShiftState {
  /** The traffic is where the selector says. */
  SETTLED,
  /** The traffic moves under the cap. */
  MOVING,
  /** The traffic has to move, but a destination is not ready for it. */
  HELD,
  /** An operator paused the shift. */
  PAUSED;

  private static final double NEGLIGIBLE_SHARE = 1e-6;

  /** Returns the state of a selector at a wall time. */
  public static ShiftState of(SteeringTable.Weights weights, long wallMilliseconds) {
    SelectorPlan plan = weights.plan();
    double[] preferred = plan.preferred(wallMilliseconds);
    double toMove = 0;
    double blocked = 0;
    for (int index = 0; index < preferred.length; index++) {
      double gain = Math.max(0, preferred[index] - weights.shares()[index]);
      boolean ready = weights.conditions()[index] == CellCondition.READY;
      toMove += gain;
      blocked += ready ? 0 : gain;
    }
    if (toMove - blocked > NEGLIGIBLE_SHARE) {
      return MOVING;
    }
    if (blocked > NEGLIGIBLE_SHARE) {
      return HELD;
    }
    if (ShiftPath.complete(plan.selector(), wallMilliseconds)) {
      return SETTLED;
    }
    return plan.selector().shift().map(Shift::paused).orElse(false) ? PAUSED : MOVING;
  }
}
