package org.corianderweir.logic.steering;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.DestinationShare;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.configuration.Shift;

/**
 * The shares of a selector's destinations at an instant. Pure functions of the configuration and
 * the wall time, so that all entry instances agree without a message.
 *
 * <p>The distance between two lists of shares is their total variation distance: the share of the
 * traffic that changes its destination. A shift moves along a straight line at the cap, so it takes
 * distance divided by cap.
 */
public final class ShiftSchedule {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** Shares that differ by less are equal; covers the rounding of sums of shares. */
  private static final double SHARE_TOLERANCE = 1e-9;

  private ShiftSchedule() {}

  /** Returns the shares that a selector's destinations have at the end of its shift. */
  public static List<DestinationShare> targetShares(Selector selector) {
    return targetShares(selector.destinations());
  }

  /** Returns the shares of destinations by their weights. */
  public static List<DestinationShare> targetShares(List<Destination> destinations) {
    double total = destinations.stream().mapToDouble(Destination::weight).sum();
    Map<List<LabelCondition>, Double> shares = new LinkedHashMap<>();
    for (Destination destination : destinations) {
      double share = total > 0 ? destination.weight() / total : 1.0 / destinations.size();
      shares.merge(destination.conditions(), share, Double::sum);
    }
    return toDestinationShares(shares);
  }

  /** Returns the shares that a selector's destinations have at a wall time. */
  public static List<DestinationShare> sharesAt(Selector selector, long wallMilliseconds) {
    List<DestinationShare> target = targetShares(selector);
    if (selector.shift().isEmpty()) {
      return target;
    }
    Shift shift = selector.shift().get();
    double progress = progress(selector, shift, target, wallMilliseconds);
    Map<List<LabelCondition>, Double> blended = new LinkedHashMap<>();
    target.forEach(part -> blended.merge(part.conditions(), part.share() * progress, Double::sum));
    shift
        .from()
        .forEach(
            part -> blended.merge(part.conditions(), part.share() * (1 - progress), Double::sum));
    return toDestinationShares(blended);
  }

  /** Returns whether a selector's shares have reached their target at a wall time. */
  public static boolean isComplete(Selector selector, long wallMilliseconds) {
    return distance(sharesAt(selector, wallMilliseconds), targetShares(selector)) < SHARE_TOLERANCE;
  }

  /** Returns the time that two lists of shares are apart at a cap, in milliseconds. */
  public static long durationMilliseconds(
      List<DestinationShare> from, List<DestinationShare> target, double capPerSecond) {
    return (long) Math.ceil(distance(from, target) / capPerSecond * MILLISECONDS_PER_SECOND);
  }

  /** Returns the share of the traffic that two lists of shares send to different groups. */
  public static double distance(List<DestinationShare> left, List<DestinationShare> right) {
    Map<List<LabelCondition>, Double> differences = new LinkedHashMap<>();
    left.forEach(part -> differences.merge(part.conditions(), part.share(), Double::sum));
    right.forEach(part -> differences.merge(part.conditions(), -part.share(), Double::sum));
    return differences.values().stream().mapToDouble(Math::abs).sum() / 2;
  }

  private static double progress(
      Selector selector, Shift shift, List<DestinationShare> target, long wallMilliseconds) {
    double distance = distance(shift.from(), target);
    if (distance < SHARE_TOLERANCE) {
      return 1;
    }
    if (shift.paused()) {
      return 0;
    }
    double elapsedSeconds =
        Math.max(0, wallMilliseconds - shift.startMilliseconds()) / MILLISECONDS_PER_SECOND;
    return Math.min(1, elapsedSeconds * selector.capPerSecond() / distance);
  }

  private static List<DestinationShare> toDestinationShares(
      Map<List<LabelCondition>, Double> shares) {
    List<DestinationShare> list = new ArrayList<>(shares.size());
    shares.forEach((conditions, share) -> list.add(new DestinationShare(conditions, share)));
    return List.copyOf(list);
  }
}
