package org.corianderweir.logic.steering;

/**
 * Reserves the bits that an answer takes on a link before its request is sent. The size of an
 * answer is not known then, so the largest of the latest ones is reserved; what an answer takes
 * beyond that is owed, and paid before the next reservation. So over any window the bits are at
 * most what the link carries, plus what the answers in flight exceed their reservations by.
 * Thread-safe.
 */
public final class LinkAccount {
  /** Part of the difference by which the reservation falls towards a smaller answer. */
  private static final double EXPECTED_BITS_DECAY_RATIO = 0.05;

  private final TokenSource tokens;
  private double expectedBits;
  private double deficitBits;

  /** Where the bits of a link are taken from. */
  public interface TokenSource {
    /** Takes bits if there are enough; returns whether it did. */
    boolean tryConsume(double bits, long nowNanoseconds);
  }

  /**
   * Creates an account.
   *
   * @param tokens this instance's part of the link
   * @param firstExpectedBits bits reserved for the first answer
   */
  public LinkAccount(TokenSource tokens, double firstExpectedBits) {
    this.tokens = tokens;
    this.expectedBits = firstExpectedBits;
  }

  /**
   * Reserves room for an answer.
   *
   * @return the bits reserved, or a negative number if there is no room now
   */
  public synchronized double tryReserve(long nowNanoseconds) {
    double requestedBits = expectedBits + deficitBits;
    if (!tokens.tryConsume(requestedBits, nowNanoseconds)) {
      return -1;
    }
    deficitBits = 0;
    return expectedBits;
  }

  /** Takes note of the size of an answer for which room was reserved. */
  public synchronized void settle(double reservedBits, double actualBits) {
    deficitBits += Math.max(0, actualBits - reservedBits);
    expectedBits =
        actualBits > expectedBits
            ? actualBits
            : expectedBits + (actualBits - expectedBits) * EXPECTED_BITS_DECAY_RATIO;
  }
}
