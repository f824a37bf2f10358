package org.corianderweir.bench.platform;

/**
 * Rate limits of the platform's service; calls above them are refused.
 *
 * @param writesPerSecond compare-and-swaps, deletions and lease calls per second
 * @param readsPerSecond reads, watches and listings of the instances per second
 */
public record PlatformRates(int writesPerSecond, int readsPerSecond) {
  /** The rate limits of the users' platform. */
  public static final PlatformRates DEFAULT = new PlatformRates(400, 2_000);
}
