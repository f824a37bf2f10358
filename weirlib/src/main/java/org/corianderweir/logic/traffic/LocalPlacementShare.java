package org.corianderweir.logic.traffic;

import java.util.concurrent.TimeUnit;

/**
 * The additional part of a service's affinity keys that an instance places in its own region.
 * {@link Placement} places as many keys there as the region has slots, which suits servers that are
 * busy everywhere. While the servers of the region have room, more keys are placed there, since the
 * way to another region takes longer than a short wait. Not thread-safe.
 */
final class LocalPlacementShare {
  /**
   * Requests per slot up to which more keys are placed locally. At three slots this is a
   * utilization of 0.6 (M/M/3), where a request waits for a third of its work on average. That is
   * less than the way to another region takes.
   */
  private static final double TARGET_REQUESTS_PER_SLOT = 0.8;

  /** Change per second for each request per slot above or below the target. */
  private static final double GAIN_PER_SECOND = 0.15;

  /**
   * Part of the share that is given up per second. Without it, the shares of instances that hear of
   * different servers would drift apart, and objects would be warm in two regions.
   */
  private static final double LEAK_PER_SECOND = 0.02;

  /**
   * Largest change per second. Moved keys are not warm yet where they are placed, and a region that
   * gets much more traffic within a few seconds has no time to adapt.
   */
  private static final double LARGEST_CHANGE_PER_SECOND = 0.04;

  /** Longer pauses between updates count as this one. */
  private static final double LONGEST_INTERVAL_SECONDS = 0.5;

  private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private double additional;
  private long updatedNanoseconds;

  LocalPlacementShare(long nowNanoseconds) {
    updatedNanoseconds = nowNanoseconds;
  }

  /** Returns the ratio of keys, from 0 to 1, that are placed locally beyond those by slots. */
  double additional() {
    return additional;
  }

  /**
   * Updates the share.
   *
   * @param requestsPerSlot requests running and waiting at the servers of the own region, for each
   *     slot
   */
  void update(double requestsPerSlot, long nowNanoseconds) {
    double elapsed = (nowNanoseconds - updatedNanoseconds) / NANOSECONDS_PER_SECOND;
    updatedNanoseconds = nowNanoseconds;
    double change =
        GAIN_PER_SECOND * (TARGET_REQUESTS_PER_SLOT - requestsPerSlot)
            - LEAK_PER_SECOND * additional;
    double bounded =
        Math.max(-LARGEST_CHANGE_PER_SECOND, Math.min(LARGEST_CHANGE_PER_SECOND, change));
    double counted = Math.max(0, Math.min(elapsed, LONGEST_INTERVAL_SECONDS));
    additional = Math.max(0, Math.min(1, additional + bounded * counted));
  }
}
