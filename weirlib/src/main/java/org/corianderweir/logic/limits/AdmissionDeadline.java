package org.corianderweir.logic.limits;

/**
 * Computes the latest time at which a request may be admitted, so that some time remains to serve
 * it. A request admitted just before its deadline would be sent to a server and then time out with
 * an unknown outcome.
 */
public final class AdmissionDeadline {
  private static final int WAITING_RATIO_NUMERATOR = 3;
  private static final int WAITING_RATIO_DENOMINATOR = 4;

  private AdmissionDeadline() {}

  /**
   * Returns the time by which a request must be admitted: now plus three quarters of the time left
   * until its deadline.
   *
   * @param deadlineNanoseconds monotonic time after which the response is of no use to the caller
   * @param nowNanoseconds present monotonic time
   */
  public static long of(long deadlineNanoseconds, long nowNanoseconds) {
    long remaining = Math.max(0, deadlineNanoseconds - nowNanoseconds);
    return nowNanoseconds + remaining / WAITING_RATIO_DENOMINATOR * WAITING_RATIO_NUMERATOR;
  }
}
