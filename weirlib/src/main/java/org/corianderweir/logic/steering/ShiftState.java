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
    ResolvedSelector resolved = weights.resolvedSelector();
    double[] desired = resolved.desiredShares(wallMilliseconds);
    double remainingShare = 0;
    double blockedShare = 0;
    for (int index = 0; index < desired.length; index++) {
      double gain = Math.max(0, desired[index] - weights.shares()[index]);
      boolean ready = weights.conditions()[index] == CellCondition.READY;
      remainingShare += gain;
      blockedShare += ready ? 0 : gain;
    }
    if (remainingShare - blockedShare > NEGLIGIBLE_SHARE) {
      return MOVING;
    }
    if (blockedShare > NEGLIGIBLE_SHARE) {
      return HELD;
    }
    if (ShiftSchedule.isComplete(resolved.selector(), wallMilliseconds)) {
      return SETTLED;
    }
    return resolved.selector().shift().map(Shift::paused).orElse(false) ? PAUSED : MOVING;
  }
}
