package org.corianderweir.logic.limits;

import java.time.Duration;

/** The times on which the safety of slices and loans rests. */
public final class LimitTiming {
  /** Lifetime of a loan, on the borrower's clock from the moment it asked. */
  public static final Duration LOAN_LIFETIME = Duration.ofSeconds(2);

  /** A holder that a majority of its cell has not confirmed for this long stops spending. */
  public static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(3);

  /** Silence after which a slot may change hands: above fence and loan lifetime with drift. */
  public static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(5500);

  /** Largest relative difference in the speed of two clocks; kernels slew by half of it at most. */
  public static final double MAXIMUM_CLOCK_DRIFT_RATIO = 0.001;

  private LimitTiming() {}

  /** Returns a waiting time that is at least the given time on any clock within the drift. */
  public static long withClockDriftMargin(long nanoseconds) {
    return (long) Math.ceil(nanoseconds * (1 + 2 * MAXIMUM_CLOCK_DRIFT_RATIO));
  }
}
