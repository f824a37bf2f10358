package org.corianderweir.logic.timeline;

import org.corianderweir.model.timeline.HybridTimestamp;

/**
 * A hybrid logical clock after Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical
 * Clocks" (2014). Thread-safe.
 */
public final class HybridLogicalClock {
  private HybridTimestamp latest = HybridTimestamp.ZERO;

  /** Returns the timestamp of a local event. */
  public synchronized HybridTimestamp tick(long wallMilliseconds) {
    latest =
        wallMilliseconds > latest.wallMilliseconds()
            ? new HybridTimestamp(wallMilliseconds, 0)
            : new HybridTimestamp(latest.wallMilliseconds(), latest.counter() + 1);
    return latest;
  }

  /** Advances the clock to a timestamp that another process sent, if that is later. */
  public synchronized void observe(HybridTimestamp remote) {
    if (remote.compareTo(latest) > 0) {
      latest = remote;
    }
  }
}
