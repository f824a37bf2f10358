package org.corianderweir.logic.limits;

/**
 * Leaves an admitted request time to be served: one that is admitted just before its deadline would
 * be sent and then end with an outcome that nobody knows.
 */
public final class AdmissionDeadline {
  private static final int WAITING_RATIO_NUMERATOR = 3;
  private static final int WAITING_RATIO_DENOMINATOR = 4;

  private AdmissionDeadline() {}

  /**
   * Returns the time by which a request must be admitted: after three quarters of the time left.
   *
   * @param deadlineNanoseconds monotonic time after which the answer is of no use
   * @param nowNanoseconds present monotonic time
   */
  public static long of(long deadlineNanoseconds, long nowNanoseconds) {
    long remaining = Math.max(0, deadlineNanoseconds - nowNanoseconds);
    return nowNanoseconds + remaining / WAITING_RATIO_DENOMINATOR * WAITING_RATIO_NUMERATOR;
  }
}
