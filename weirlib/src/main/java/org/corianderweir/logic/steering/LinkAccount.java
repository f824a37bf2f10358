package org.corianderweir.logic.steering;

/**
 * Reserves link capacity for an answer before its request is sent. The size of the answer is not
 * known at that time, so the account reserves the size of the largest recent answers. If an answer
 * is larger than its reservation, the excess is recorded as a deficit and added to the next
 * reservation. So the bits sent in any window are at most the capacity of the link plus the excess
 * of the answers in flight over their reservations. Thread-safe.
 */
public final class LinkAccount {
  /**
   * When an answer is smaller than expected, the expected size decreases by this fraction of the
   * difference.
   */
  private static final double EXPECTED_BITS_DECAY_RATIO = 0.05;

  private final TokenSource tokens;
  private double expectedBits;
  private double deficitBits;

  /** The token bucket of a link, counted in bits. */
  public interface TokenSource {
    /** Takes bits if enough are available; returns whether they were taken. */
    boolean tryConsume(double bits, long nowNanoseconds);
  }

  /**
   * Creates an account.
   *
   * @param tokens this instance's quota of the link's capacity
   * @param firstExpectedBits bits reserved for the first answer
   */
  public LinkAccount(TokenSource tokens, double firstExpectedBits) {
    this.tokens = tokens;
    this.expectedBits = firstExpectedBits;
  }

  /**
   * Reserves capacity for an answer.
   *
   * @return the bits reserved, or a negative number if the capacity is not available now
   */
  public synchronized double tryReserve(long nowNanoseconds) {
    if (!tokens.tryConsume(nextReservationBits(), nowNanoseconds)) {
      return -1;
    }
    deficitBits = 0;
    return expectedBits;
  }

  /** Returns the bits that the next reservation takes, with the deficit of earlier ones. */
  public synchronized double nextReservationBits() {
    return expectedBits + deficitBits;
  }

  /**
   * Records the actual size of an answer for which capacity was reserved.
   *
   * @param reservedBits bits that {@link #tryReserve} returned
   * @param actualBits bits that were sent
   */
  public synchronized void settle(double reservedBits, double actualBits) {
    deficitBits += Math.max(0, actualBits - reservedBits);
    expectedBits =
        actualBits > expectedBits
            ? actualBits
            : expectedBits + (actualBits - expectedBits) * EXPECTED_BITS_DECAY_RATIO;
  }
}
