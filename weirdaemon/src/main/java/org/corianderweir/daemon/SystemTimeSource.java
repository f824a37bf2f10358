package org.corianderweir.daemon;

import org.corianderweir.kernel.TimeSource;

/** Reads the monotonic clock and the wall clock of the system. */
public final class SystemTimeSource implements TimeSource {
  @Override
  public long monotonicNanoseconds() {
    return System.nanoTime();
  }

  @Override
  public long wallMilliseconds() {
    return System.currentTimeMillis();
  }
}
