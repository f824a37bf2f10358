package org.corianderweir.logic.steering;

import org.corianderweir.model.configuration.Shift;

/** The progress of a selector's shift at an entry instance. */
public enum ShiftState {
  /** The traffic has the shares of the selector's destinations; no shift is in progress. */
  SETTLED,
  /** The traffic is moving at the rate of the cap. */
  MOVING,
  /** The shift is on hold: the cells that should gain share are not ready for more traffic. */
  HELD,
  /** An operator paused the shift. */
  PAUSED;

  private static final double NEGLIGIBLE_SHARE = 1e-6;

  /** Returns the state of a selector's shift at a wall time. */
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
