package org.corianderweir.logic.steering.explain;

import java.util.List;

/**
 * The effects that a change would have.
 *
 * @param revision configuration revision that the dry run is based on
 * @param shifts shifts of the selectors whose traffic would move
 * @param problems problems that an operator should review before the change is applied
 */
public record DryRunReport(long revision, List<PlannedShift> shifts, List<String> problems) {
  /** Copies the lists. */
  public DryRunReport {
    shifts = List.copyOf(shifts);
    problems = List.copyOf(problems);
  }

  /**
   * The shift of a selector's traffic.
   *
   * @param selector name of the selector
   * @param movedShare largest share of the traffic of any one region's callers that would move,
   *     from 0 to 1
   * @param capPerSecond largest share that may move in a second
   * @param secondsUntilComplete duration of the shift if it is never on hold
   * @param zones shares for each region of callers and availability zone of servers
   */
  public record PlannedShift(
      String selector,
      double movedShare,
      double capPerSecond,
      double secondsUntilComplete,
      List<ZoneShares> zones) {
    /** Copies the list. */
    public PlannedShift {
      zones = List.copyOf(zones);
    }
  }

  /**
   * The share that an availability zone has of the traffic at the entry instances of a region.
   *
   * @param callerRegion region of the entry instances
   * @param region region of the zone
   * @param availabilityZone name of the zone
   * @param before share before the change, from 0 to 1
   * @param after share when the shift is complete, from 0 to 1
   * @param slotsAfter slots of the selector's servers in the zone after the change
   */
  public record ZoneShares(
      String callerRegion,
      String region,
      String availabilityZone,
      double before,
      double after,
      int slotsAfter) {}
}
