package org.corianderweir.logic.admission;

/**
 * The grounds of a decision. Times are in nanoseconds.
 *
 * @param cause the rule that decided
 * @param expectedTime expected time until the answer; 0 if it is unknown
 * @param expectedWait part of it that the request waits at the server
 * @param allowedWait wait up to which a late request of its class and organisation is sent
 * @param freeSlots free slots of the chosen server
 * @param reportWeight weight of the newest report of the server, from 1 (new) to 0 (too old)
 * @param lateShare share of the recent answers that were late because they waited
 * @param reportedWait mean wait at the servers of the pool according to their reports
 */
public record Assessment(
    Cause cause,
    long expectedTime,
    long expectedWait,
    long allowedWait,
    double freeSlots,
    double reportWeight,
    double lateShare,
    long reportedWait) {
  /** The rules in the order in which they are tried. */
  public enum Cause {
    /** How long the work takes is not known yet. */
    UNKNOWN_WORK,
    /** The answer is expected after the deadline. */
    PAST_DEADLINE,
    /** The answer is expected within the target latency. */
    IN_TIME,
    /** The answer is expected late, but the servers have no shortage. */
    NO_SHORTAGE,
    /** The answer is expected late, after a wait that its class may add. */
    SHORT_WAIT,
    /** The answer is expected late, but too few of its class or organisation were sent. */
    FLOOR,
    /** The answer is expected late, after a wait that is too long for its class. */
    LONG_WAIT
  }
}
