package org.corianderweir.protocol.operator;

import java.util.List;
import org.corianderweir.logic.steering.CellCondition;
import org.corianderweir.logic.steering.ShiftState;

/** Messages about shifts. */
public final class ShiftMessages {
  private ShiftMessages() {}

  /**
   * The shifts as one entry instance carries them out.
   *
   * @param instance name of the entry instance
   * @param region its region
   * @param shifts one for each selector
   */
  public record Shifts(String instance, String region, List<ShiftView> shifts) {}

  /**
   * How the traffic of a selector moves.
   *
   * @param selector name of the selector
   * @param state whether it moves
   * @param capPerSecond largest share that may move in a second
   * @param shares shares of the destinations in each availability zone
   */
  public record ShiftView(
      String selector, ShiftState state, double capPerSecond, List<ShareView> shares) {}

  /**
   * The share of a destination in an availability zone.
   *
   * @param destination conditions of the destination
   * @param region region of the zone
   * @param availabilityZone the zone
   * @param share share of the traffic now, from 0 to 1
   * @param target share when the shift is complete, from 0 to 1
   * @param condition whether it may get more
   */
  public record ShareView(
      String destination,
      String region,
      String availabilityZone,
      double share,
      double target,
      CellCondition condition) {}
}
