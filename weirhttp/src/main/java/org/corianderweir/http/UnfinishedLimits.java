package org.corianderweir.http;

import java.time.Duration;

/**
 * Limits on what callers can occupy with requests that they have begun and not finished.
 *
 * @param memoryBytes bytes that are held of heads and chunk lines without an end
 * @param connectionRatio ratio of the connections on which a request may be unfinished
 * @param headTimeout longest time in which a caller must send a head, until {@link
 *     HttpListener#setHeadTimeout} sets another
 * @param stallTimeout longest time without a byte of a body while the memory of bodies is short
 */
public record UnfinishedLimits(
    long memoryBytes, double connectionRatio, Duration headTimeout, Duration stallTimeout) {
  private static final long DEFAULT_MEMORY_BYTES = 4L * 1024 * 1024;
  private static final double DEFAULT_CONNECTION_RATIO = 0.5;
  private static final Duration DEFAULT_HEAD_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration DEFAULT_STALL_TIMEOUT = Duration.ofSeconds(8);

  /** The limits of a listener for which no others are given. */
  public static final UnfinishedLimits DEFAULT =
      new UnfinishedLimits(
          DEFAULT_MEMORY_BYTES,
          DEFAULT_CONNECTION_RATIO,
          DEFAULT_HEAD_TIMEOUT,
          DEFAULT_STALL_TIMEOUT);

  /** Returns the same limits with another limit on the memory. */
  public UnfinishedLimits withMemoryBytes(long bytes) {
    return new UnfinishedLimits(bytes, connectionRatio, headTimeout, stallTimeout);
  }
}
