package org.corianderweir.logic.steering;

/** Whether a cell may get more of the traffic, from its health, measurements and headroom. */
public enum CellCondition {
  /** Healthy, measured and with headroom: its share may grow. */
  READY,
  /** No fresh measurements: its share does not grow. */
  UNMEASURED,
  /** Poor health: its share does not grow. */
  UNHEALTHY,
  /** Little headroom: its share does not grow. */
  BUSY,
  /** No headroom: its share moves to cells that are ready. */
  FULL,
  /** No server can be reached: its share moves to cells that are ready. */
  DEAD;

  /** Returns whether the share moves away whatever the selector's weights say. */
  public boolean losesShare() {
    return this == FULL || this == DEAD;
  }
}
