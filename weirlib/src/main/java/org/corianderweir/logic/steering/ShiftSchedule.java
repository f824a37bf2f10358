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
 * Computes the shares of a selector's destinations at a wall time. Pure functions of the
 * configuration and the wall time, so that all entry instances get the same shares without
 * exchanging messages.
 *
 * <p>The distance between two lists of shares is their total variation distance: the share of the
 * traffic that changes its destination. A shift interpolates linearly between the lists at the rate
 * of the cap, so it takes the distance divided by the cap.
 */
public final class ShiftSchedule {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** Shares that differ by less count as equal, because sums of shares have rounding errors. */
  private static final double SHARE_TOLERANCE = 1e-9;

  private ShiftSchedule() {}

  /** Returns the shares that a selector's destinations have at the end of its shift. */
  public static List<DestinationShare> targetShares(Selector selector) {
    return targetShares(selector.destinations());
  }

  /** Returns the shares of destinations in proportion to their weights. */
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
    target.forEach(
        destinationShare ->
            blended.merge(
                destinationShare.conditions(), destinationShare.share() * progress, Double::sum));
    shift
        .from()
        .forEach(
            destinationShare ->
                blended.merge(
                    destinationShare.conditions(),
                    destinationShare.share() * (1 - progress),
                    Double::sum));
    return toDestinationShares(blended);
  }

  /** Returns whether a selector's shares have reached their target at a wall time. */
  public static boolean isComplete(Selector selector, long wallMilliseconds) {
    return distance(sharesAt(selector, wallMilliseconds), targetShares(selector)) < SHARE_TOLERANCE;
  }

  /** Returns how long a shift between two lists of shares takes at a cap, in milliseconds. */
  public static long durationMilliseconds(
      List<DestinationShare> from, List<DestinationShare> target, double capPerSecond) {
    return (long) Math.ceil(distance(from, target) / capPerSecond * MILLISECONDS_PER_SECOND);
  }

  /** Returns the total variation distance between two lists of shares, from 0 to 1. */
  public static double distance(List<DestinationShare> left, List<DestinationShare> right) {
    Map<List<LabelCondition>, Double> differences = new LinkedHashMap<>();
    left.forEach(
        destinationShare ->
            differences.merge(
                destinationShare.conditions(), destinationShare.share(), Double::sum));
    right.forEach(
        destinationShare ->
            differences.merge(
                destinationShare.conditions(), -destinationShare.share(), Double::sum));
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
