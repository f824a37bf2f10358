package org.corianderweir.protocol.operator;

import java.util.List;
import org.corianderweir.logic.steering.CellCondition;
import org.corianderweir.logic.steering.ShiftState;

/** Messages about shifts, which move the traffic of selectors gradually. */
public final class ShiftMessages {
  private ShiftMessages() {}

  /**
   * The shifts as one entry instance carries them out.
   *
   * @param instance name of the entry instance
   * @param region region of the entry instance
   * @param shifts the shifts, one for each selector
   */
  public record Shifts(String instance, String region, List<ShiftView> shifts) {}

  /**
   * The shift of a selector's traffic.
   *
   * @param selector name of the selector
   * @param state state of the shift
   * @param capPerSecond largest share of the traffic, from 0 to 1, that may move in one second
   * @param shares shares of the destinations in each availability zone
   */
  public record ShiftView(
      String selector, ShiftState state, double capPerSecond, List<ShareView> shares) {}

  /**
   * The share of a destination in an availability zone.
   *
   * @param destination label conditions of the destination
   * @param region region of the zone
   * @param availabilityZone name of the zone
   * @param share current share of the traffic, from 0 to 1
   * @param target share of the traffic when the shift is complete, from 0 to 1
   * @param condition whether the share may grow
   */
  public record ShareView(
      String destination,
      String region,
      String availabilityZone,
      double share,
      double target,
      CellCondition condition) {}
}
