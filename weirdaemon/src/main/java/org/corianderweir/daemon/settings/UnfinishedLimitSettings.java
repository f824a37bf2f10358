package org.corianderweir.daemon.settings;

import java.time.Duration;
import org.corianderweir.http.UnfinishedLimits;

/**
 * Limits on the requests that callers have begun and not finished.
 *
 * @param memoryRatio ratio of the heap for heads and chunk lines without an end
 * @param connectionRatio ratio of the connections on which a request may be unfinished
 * @param stallTimeout longest time without a byte of a body while the memory of bodies is short
 */
public record UnfinishedLimitSettings(
    double memoryRatio, double connectionRatio, Duration stallTimeout) {
  /** The limits unless the settings file has others. */
  public static final UnfinishedLimitSettings DEFAULT =
      new UnfinishedLimitSettings(
          0.04,
          UnfinishedLimits.DEFAULT.connectionRatio(),
          UnfinishedLimits.DEFAULT.stallTimeout());

  /** Returns the limits of a listener whose unfinished heads may take a number of bytes. */
  public UnfinishedLimits limits(long memoryBytes) {
    return new UnfinishedLimits(
        memoryBytes, connectionRatio, UnfinishedLimits.DEFAULT.headTimeout(), stallTimeout);
  }
}
