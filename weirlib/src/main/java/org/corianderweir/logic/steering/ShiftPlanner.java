package org.corianderweir.logic.steering;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.DestinationShare;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.configuration.Shift;

/**
 * Creates the shift that a change of a selector causes. Each shift starts from the shares that
 * {@link ShiftSchedule} gives for the time of the change, so that no share changes abruptly.
 */
public final class ShiftPlanner {
  private ShiftPlanner() {}

  /**
   * Returns the requested selector with the shift that moves the traffic of the earlier selector to
   * its destinations. If the destinations stay the same, a shift in progress continues from its
   * current shares.
   *
   * @param before selector that the traffic follows now
   * @param requested selector that the operator has set; its shift is ignored
   */
  public static Selector planShift(Selector before, Selector requested, long wallMilliseconds) {
    List<DestinationShare> currentShares = ShiftSchedule.sharesAt(before, wallMilliseconds);
    if (ShiftSchedule.distance(currentShares, ShiftSchedule.targetShares(requested)) == 0) {
      return withShift(requested, Optional.empty());
    }
    boolean sameTarget = before.destinations().equals(requested.destinations());
    Shift shift =
        sameTarget && before.shift().isPresent()
            ? new Shift(
                wallMilliseconds,
                before.shift().get().paused(),
                currentShares,
                before.shift().get().origin())
            : new Shift(wallMilliseconds, false, currentShares, before.destinations());
    return withShift(requested, Optional.of(shift));
  }

  /**
   * Returns the selector with its shift paused at the current shares.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if no shift is in progress or it
   *     is paused already
   */
  public static Selector pause(Selector selector, long wallMilliseconds) {
    Shift shift = requireActiveShift(selector, wallMilliseconds);
    if (shift.paused()) {
      throw invalid(selector, "is paused already");
    }
    return restarted(selector, shift, true, wallMilliseconds);
  }

  /**
   * Returns the selector with its paused shift resumed from the current shares.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if no shift is in progress or it
   *     is not paused
   */
  public static Selector resume(Selector selector, long wallMilliseconds) {
    Shift shift = requireActiveShift(selector, wallMilliseconds);
    if (!shift.paused()) {
      throw invalid(selector, "is not paused");
    }
    return restarted(selector, shift, false, wallMilliseconds);
  }

  /**
   * Returns the selector with the destinations that it had before its latest shift, and with a
   * shift from the current shares back to them.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the selector has no shift
   */
  public static Selector turnBack(Selector selector, long wallMilliseconds) {
    Shift shift =
        selector.shift().orElseThrow(() -> invalid(selector, "does not exist; set the selector"));
    Selector requested = selector.toBuilder().destinations(shift.origin()).build();
    return planShift(selector, requested, wallMilliseconds);
  }

  /**
   * Returns the selector whose traffic an added selector takes over: the one with the longest path
   * prefix that is a prefix of the added selector's. Empty if there is none or it uses another
   * service.
   */
  public static Optional<Selector> findCovering(Collection<Selector> selectors, Selector added) {
    return selectors.stream()
        .filter(other -> !other.name().equals(added.name()))
        .filter(other -> added.pathPrefix().startsWith(other.pathPrefix()))
        .max(Comparator.comparingInt(other -> other.pathPrefix().length()))
        .filter(other -> other.service().equals(added.service()));
  }

  private static Selector restarted(
      Selector selector, Shift shift, boolean paused, long wallMilliseconds) {
    List<DestinationShare> currentShares = ShiftSchedule.sharesAt(selector, wallMilliseconds);
    return withShift(
        selector, Optional.of(new Shift(wallMilliseconds, paused, currentShares, shift.origin())));
  }

  private static Shift requireActiveShift(Selector selector, long wallMilliseconds) {
    if (selector.shift().isEmpty() || ShiftSchedule.isComplete(selector, wallMilliseconds)) {
      throw invalid(selector, "is not under way; its traffic is where the selector says");
    }
    return selector.shift().get();
  }

  private static Selector withShift(Selector selector, Optional<Shift> shift) {
    return selector.toBuilder().shift(shift).build();
  }

  private static WeirException invalid(Selector selector, String reason) {
    return new WeirException(
        ErrorCode.CONFIGURATION_INVALID, "the shift of selector " + selector.name() + " " + reason);
  }
}
