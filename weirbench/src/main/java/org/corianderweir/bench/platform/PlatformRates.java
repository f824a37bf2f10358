package org.corianderweir.bench.platform;

/**
 * The calls per second that the service takes; a call above them is refused.
 *
 * @param writesPerSecond compare-and-swaps, deletions and lease calls
 * @param readsPerSecond reads, watches and lists
 */
public record PlatformRates(int writesPerSecond, int readsPerSecond) {
  /** The rates of the users' platform. */
  public static final PlatformRates DEFAULT = new PlatformRates(400, 2_000);
}
