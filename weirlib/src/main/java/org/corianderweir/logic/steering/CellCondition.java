package org.corianderweir.logic.steering;

/**
 * The condition of a cell by its health, measurements and headroom. It decides whether the cell's
 * share of the traffic may grow, has to stay or moves to other cells.
 */
public enum CellCondition {
  /** Healthy, recently measured and with headroom; its share may grow. */
  READY,
  /** No recent load measurements; its share does not grow. */
  UNMEASURED,
  /** Too many of its servers are unhealthy; its share does not grow. */
  UNHEALTHY,
  /** Little headroom; its share does not grow. */
  BUSY,
  /** No headroom; its share moves to cells that are ready. */
  FULL,
  /** No server is reachable; its share moves to cells that are ready. */
  DEAD;

  /** Returns whether the share moves to other cells regardless of the selector's weights. */
  public boolean losesShare() {
    return this == FULL || this == DEAD;
  }
}
