package org.corianderweir.logic.steering;

/** The decision to which backend servers a request may be sent. */
public sealed interface SteeringDecision {
  /**
   * The request may be sent to the servers of one cell only, so that the traffic keeps to the
   * weights.
   *
   * @param cell the cell
   */
  record Candidates(Cell cell) implements SteeringDecision {}

  /**
   * The request can't be sent to any server at present. It may be steered again with the same draw
   * until its deadline, because its share may have moved to other servers by then. After the
   * deadline it is refused as not run.
   *
   * @param reason why no server is available
   */
  record Unavailable(UnavailableReason reason) implements SteeringDecision {}

  /** Why no server is available for a request. */
  enum UnavailableReason {
    /** The configuration in force at this entry instance does not have the selector. */
    SELECTOR_UNKNOWN,
    /** The selector has no eligible backend server. */
    NO_SERVER,
    /**
     * No server of the cell is reachable; its share is moving to other cells at the rate of the
     * cap.
     */
    MOVING
  }
}
