package org.corianderweir.bench.metadata;

import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.kernel.TimeSource;

/**
 * The system's time, whose monotonic part can be stopped, so that what decisions depend on does not
 * age between two steps of a test.
 */
final class StoppableTimeSource implements TimeSource {
  private final SystemTimeSource system = new SystemTimeSource();
  private boolean stopped;
  private long stoppedNanoseconds;

  synchronized void stop() {
    stoppedNanoseconds = system.monotonicNanoseconds();
    stopped = true;
  }

  synchronized void resume() {
    stopped = false;
  }

  @Override
  public synchronized long monotonicNanoseconds() {
    return stopped ? stoppedNanoseconds : system.monotonicNanoseconds();
  }

  @Override
  public long wallMilliseconds() {
    return system.wallMilliseconds();
  }
}
