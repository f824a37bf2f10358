package org.corianderweir.logic.limits;

import java.time.Duration;

/** Timeouts and clock margins that keep the sum of all slices and loans within the limit. */
public final class LimitTiming {
  /** Lifetime of a loan, counted on the borrower's clock from the time it sent the request. */
  public static final Duration LOAN_LIFETIME = Duration.ofSeconds(2);

  /** A slot holder stops spending if a majority of its cell has not confirmed it for this long. */
  public static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(3);

  /**
   * Time without a probe from its holder after which a slot may be taken over. It is longer than
   * the confirmation timeout plus the loan lifetime, with the margin for clock drift.
   */
  public static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(5500);

  /**
   * Largest relative difference between the rates of two clocks. Kernels slew a clock by at most
   * half of this.
   */
  public static final double MAXIMUM_CLOCK_DRIFT_RATIO = 0.001;

  private LimitTiming() {}

  /**
   * Returns a waiting time that lasts at least the given time on any clock within the maximum
   * drift.
   */
  public static long withClockDriftMargin(long nanoseconds) {
    return (long) Math.ceil(nanoseconds * (1 + 2 * MAXIMUM_CLOCK_DRIFT_RATIO));
  }
}
