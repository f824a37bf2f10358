package org.corianderweir.logic.steering;

/** Where a request may go. */
public sealed interface SteeringDecision {
  /**
   * To the servers of a cell and nowhere else, so that the shares of the traffic stay as weighed.
   *
   * @param cell the cell
   */
  record Candidates(Cell cell) implements SteeringDecision {}

  /**
   * Nowhere at present: the share that the request belongs to has not yet moved to servers that can
   * take it. It may ask again with the same draw until its deadline, and is refused as not run.
   *
   * @param reason why
   */
  record Unavailable(UnavailableReason reason) implements SteeringDecision {}

  /** Why a request may go nowhere at present. */
  enum UnavailableReason {
    /** The configuration in force here has no such selector. */
    SELECTOR_UNKNOWN,
    /** No backend server is eligible. */
    NO_SERVER,
    /** The servers of this share are gone, and the share moves to others under the cap. */
    MOVING
  }
}
