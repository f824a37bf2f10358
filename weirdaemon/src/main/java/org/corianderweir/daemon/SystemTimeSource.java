package org.corianderweir.daemon;

import org.corianderweir.kernel.TimeSource;

/** The clocks of the machine. */
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
