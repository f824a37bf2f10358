package org.corianderweir.logic.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The recent demand by class and organisation, and which part of it was sent. Not thread-safe.
 *
 * <p>The numbers of classes and organisations are bounded by the configuration.
 */
final class DemandShares {
  /**
   * One instance sees about 13 requests a second of some 75 organisations; a shorter time would
   * leave one or two requests of each.
   */
  private static final double TIME_CONSTANT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

  /** Part of the requests of a class that is sent while servers accept any. */
  private static final double FLOOR_RATIO = 1.0 / 3;

  /** Multiple of the mean demand up to which an organisation gets its full part. */
  private static final double USUAL_DEMAND_RATIO = 2;

  private final DecayedMean all = new DecayedMean(TIME_CONSTANT_NANOSECONDS);
  private final NavigableMap<Integer, DecayedMean> byPriority = new TreeMap<>();
  private final Map<String, DecayedMean> byOrganisation = new HashMap<>();

  /** Records the first decision about a request. */
  void record(int priority, String organisation, boolean sent, long nowNanoseconds) {
    double value = sent ? 1 : 0;
    all.add(value, 1, nowNanoseconds);
    counter(byPriority, priority).add(value, 1, nowNanoseconds);
    counter(byOrganisation, organisation).add(value, 1, nowNanoseconds);
  }

  /**
   * Returns whether too few requests of the class or of the organisation were sent: less than the
   * floor, or a smaller part than of a less urgent class.
   */
  boolean isBelowFloor(int priority, String organisation) {
    return isBelow(byPriority.get(priority), classFloor(priority))
        || isBelow(byOrganisation.get(organisation), FLOOR_RATIO * all.mean());
  }

  private double classFloor(int priority) {
    double floor = FLOOR_RATIO;
    for (DecayedMean lessUrgent : byPriority.tailMap(priority, false).values()) {
      floor = Math.max(floor, lessUrgent.mean());
    }
    return floor;
  }

  /** Returns the part of the allowed wait that an organisation gets, by its share of demand. */
  double partOf(String organisation, long nowNanoseconds) {
    DecayedMean own = byOrganisation.get(organisation);
    if (own == null) {
      return 1;
    }
    double usual = all.weight(nowNanoseconds) / byOrganisation.size();
    return Math.min(1, USUAL_DEMAND_RATIO * usual / own.weight(nowNanoseconds));
  }

  private static boolean isBelow(@Nullable DecayedMean sent, double floor) {
    return sent != null && sent.mean() < floor;
  }

  private static <K> DecayedMean counter(Map<K, DecayedMean> counters, K key) {
    return counters.computeIfAbsent(key, unused -> new DecayedMean(TIME_CONSTANT_NANOSECONDS));
  }
}
