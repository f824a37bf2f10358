package org.corianderweir.logic.steering.explain;

import java.util.List;

/**
 * What a change would do.
 *
 * @param revision revision that the change was tried on
 * @param shifts selectors whose traffic would move
 * @param problems what an operator should look at before the change is applied
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
   * @param movedShare largest share of a region's callers that would move, from 0 to 1
   * @param capPerSecond largest share that may move in a second
   * @param secondsUntilComplete time that the shift takes if nothing holds it
   * @param zones shares by region of the callers and availability zone of the servers
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
   * The share of an availability zone in the traffic of a region's entry instances.
   *
   * @param callerRegion region of the entry instances
   * @param region region of the zone
   * @param availabilityZone the zone
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
