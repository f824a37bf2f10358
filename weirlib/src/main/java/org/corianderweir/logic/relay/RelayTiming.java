package org.corianderweir.logic.relay;

import java.time.Duration;

/**
 * The times that decide when an instance watches the store itself.
 *
 * @param silenceLimit time without a current update from a preferred relay after which the first
 *     deputy watches the store
 * @param rankDelay additional time for each further deputy, so that they do not all begin together
 * @param confirmationLimit age of the view after which the first deputy watches the store although
 *     its relay still sends updates
 */
public record RelayTiming(Duration silenceLimit, Duration rankDelay, Duration confirmationLimit) {
  /** Number of deputies after which the delay no longer grows. */
  private static final int LARGEST_DELAY_RANK = 8;

  /** Returns the delay of an instance in addition to that of the first deputy, in nanoseconds. */
  long rankDelayNanoseconds(int rank) {
    return rankDelay.toNanos() * Math.min(LARGEST_DELAY_RANK, Math.max(0, rank - 1));
  }
}
