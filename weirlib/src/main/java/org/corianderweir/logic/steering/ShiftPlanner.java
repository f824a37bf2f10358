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
 * Plans the shift that a change of a selector causes. Each plan starts from the shares at the
 * instant of the change, worked out by {@link ShiftPath}, so that nothing jumps.
 */
public final class ShiftPlanner {
  private ShiftPlanner() {}

  /**
   * Returns the wanted selector with the shift that brings the traffic of an earlier one to its
   * destinations. If only other parts change, a shift under way goes on from where it is.
   *
   * @param before selector that has the traffic now
   * @param wanted selector as the operator wrote it; its shift is ignored
   */
  public static Selector changed(Selector before, Selector wanted, long wallMilliseconds) {
    List<DestinationShare> now = ShiftPath.shares(before, wallMilliseconds);
    if (ShiftPath.distance(now, ShiftPath.target(wanted)) == 0) {
      return with(wanted, Optional.empty());
    }
    boolean sameTarget = before.destinations().equals(wanted.destinations());
    Shift shift =
        sameTarget && before.shift().isPresent()
            ? new Shift(
                wallMilliseconds, before.shift().get().paused(), now, before.shift().get().origin())
            : new Shift(wallMilliseconds, false, now, before.destinations());
    return with(wanted, Optional.of(shift));
  }

  /**
   * Returns the selector with its shift stopped where it is.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if no shift is under way
   */
  public static Selector paused(Selector selector, long wallMilliseconds) {
    Shift shift = underWay(selector, wallMilliseconds);
    if (shift.paused()) {
      throw invalid(selector, "is paused already");
    }
    return restarted(selector, shift, true, wallMilliseconds);
  }

  /**
   * Returns the selector with its paused shift going on from where it is.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the shift is not paused
   */
  public static Selector resumed(Selector selector, long wallMilliseconds) {
    Shift shift = underWay(selector, wallMilliseconds);
    if (!shift.paused()) {
      throw invalid(selector, "is not paused");
    }
    return restarted(selector, shift, false, wallMilliseconds);
  }

  /**
   * Returns the selector with the destinations that it had before its latest shift, and the shift
   * back to them from where the shares are.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if there never was a shift
   */
  public static Selector turnedBack(Selector selector, long wallMilliseconds) {
    Shift shift =
        selector.shift().orElseThrow(() -> invalid(selector, "does not exist; set the selector"));
    Selector wanted = selector.toBuilder().destinations(shift.origin()).build();
    return changed(selector, wanted, wallMilliseconds);
  }

  /** Returns the selector whose traffic a new one takes over, if both use the same service. */
  public static Optional<Selector> covering(Collection<Selector> selectors, Selector added) {
    return selectors.stream()
        .filter(other -> !other.name().equals(added.name()))
        .filter(other -> added.pathPrefix().startsWith(other.pathPrefix()))
        .max(Comparator.comparingInt(other -> other.pathPrefix().length()))
        .filter(other -> other.service().equals(added.service()));
  }

  private static Selector restarted(
      Selector selector, Shift shift, boolean paused, long wallMilliseconds) {
    List<DestinationShare> now = ShiftPath.shares(selector, wallMilliseconds);
    return with(selector, Optional.of(new Shift(wallMilliseconds, paused, now, shift.origin())));
  }

  private static Shift underWay(Selector selector, long wallMilliseconds) {
    if (selector.shift().isEmpty() || ShiftPath.complete(selector, wallMilliseconds)) {
      throw invalid(selector, "is not under way; its traffic is where the selector says");
    }
    return selector.shift().get();
  }

  private static Selector with(Selector selector, Optional<Shift> shift) {
    return selector.toBuilder().shift(shift).build();
  }

  private static WeirException invalid(Selector selector, String reason) {
    return new WeirException(
        ErrorCode.CONFIGURATION_INVALID, "the shift of selector " + selector.name() + " " + reason);
  }
}
