package org.corianderweir.logic.traffic;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * The demand of an organisation on the fleet over the last seconds, as the digests told it. Not
 * thread-safe.
 */
final class FleetDemandHistory {
  /** Number of the newest digests over which the present demand is averaged. */
  private static final int PRESENT_DIGEST_COUNT = 4;

  /** Minimum number of digests from before the window that show what the demand was then. */
  private static final int MINIMUM_EARLIER_DIGEST_COUNT = 4;

  /** Length of the window in lengths of the window of the limit; covers the age of a digest. */
  private static final double WINDOW_RATIO = 1.1;

  /** Time that is kept, in lengths of the window of the limit. */
  private static final double KEPT_RATIO = 1.6;

  /** Demand that differs by at most this ratio counts as steady. */
  private static final double STEADY_RATIO = 1.15;

  /** Demand below this ratio of the mean in the window does not count as steady. */
  private static final double MINIMUM_PRESENT_RATIO = 0.6;

  private final long limitWindowNanoseconds;
  private final long windowNanoseconds;
  private final long keptNanoseconds;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private double present;
  private double window;
  private double earlier;

  private record Sample(long nanoseconds, double perSecond) {}

  /**
   * Creates an empty history.
   *
   * @param limitWindowNanoseconds length of the window of the limit
   */
  FleetDemandHistory(long limitWindowNanoseconds) {
    this.limitWindowNanoseconds = limitWindowNanoseconds;
    windowNanoseconds = (long) (WINDOW_RATIO * limitWindowNanoseconds);
    keptNanoseconds = (long) (KEPT_RATIO * limitWindowNanoseconds);
  }

  /** Returns a copy that is updated by itself. */
  FleetDemandHistory copy() {
    FleetDemandHistory copy = new FleetDemandHistory(limitWindowNanoseconds);
    copy.samples.addAll(samples);
    copy.present = present;
    copy.window = window;
    copy.earlier = earlier;
    return copy;
  }

  /** Records the demand of a digest, in requests per second. */
  void add(double perSecond, long nowNanoseconds) {
    samples.addLast(new Sample(nowNanoseconds, perSecond));
    while (nowNanoseconds - samples.getFirst().nanoseconds() > keptNanoseconds) {
      samples.removeFirst();
    }
    present =
        samples.stream()
            .skip(Math.max(0, samples.size() - PRESENT_DIGEST_COUNT))
            .mapToDouble(Sample::perSecond)
            .average()
            .orElse(0);
    long windowStart = nowNanoseconds - windowNanoseconds;
    window =
        samples.stream()
            .filter(sample -> sample.nanoseconds() >= windowStart)
            .mapToDouble(Sample::perSecond)
            .average()
            .orElse(0);
    double[] before =
        samples.stream()
            .filter(sample -> sample.nanoseconds() < windowStart)
            .mapToDouble(Sample::perSecond)
            .toArray();
    earlier =
        before.length < MINIMUM_EARLIER_DIGEST_COUNT
            ? 0
            : Arrays.stream(before).average().orElse(0);
  }

  /** Returns the mean demand in the window of the limit, in requests per second. */
  double window() {
    return window;
  }

  /** Returns the mean demand in the newest digests, in requests per second. */
  double present() {
    return present;
  }

  /**
   * Returns the lower one of the present demand and the mean in the window, in requests per second.
   */
  double sustained() {
    return Math.min(present, window);
  }

  /**
   * Returns whether the demand has hardly grown since before the window of the limit, and is not
   * between two surges.
   */
  boolean isSteady() {
    return present >= MINIMUM_PRESENT_RATIO * window
        && present <= STEADY_RATIO * Math.min(window, earlier)
        && window <= STEADY_RATIO * earlier;
  }
}
