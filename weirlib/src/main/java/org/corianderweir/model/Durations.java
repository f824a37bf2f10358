package org.corianderweir.model;

import java.time.Duration;

/** Conversions of durations that come from outside and may have any value. */
public final class Durations {
  /** Far beyond every time in use; a sum with a monotonic time does not overflow. */
  private static final Duration LONGEST = Duration.ofDays(36_500);

  private Durations() {}

  /** Returns a duration in nanoseconds, between zero and a hundred years. */
  public static long toBoundedNanoseconds(Duration duration) {
    if (duration.isNegative()) {
      return 0;
    }
    return duration.compareTo(LONGEST) < 0 ? duration.toNanos() : LONGEST.toNanos();
  }
}
