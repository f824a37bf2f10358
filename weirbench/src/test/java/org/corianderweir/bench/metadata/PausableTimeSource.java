package org.corianderweir.bench.metadata;

import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.kernel.TimeSource;

/**
 * The system's time, which can be paused for some threads. Such a thread waits for the end of the
 * pause when it asks for the time, like a thread that gets no processor time.
 */
final class PausableTimeSource implements TimeSource {
  private final SystemTimeSource system = new SystemTimeSource();
  private final String threadNamePrefix;
  private boolean paused;
  private int waitingThreads;

  /** Creates a source that pauses the threads whose name starts with a prefix. */
  PausableTimeSource(String threadNamePrefix) {
    this.threadNamePrefix = threadNamePrefix;
  }

  synchronized void pause() {
    paused = true;
  }

  synchronized void resume() {
    paused = false;
    notifyAll();
  }

  /** Returns the number of threads that wait for the end of the pause. */
  synchronized int waitingThreads() {
    return waitingThreads;
  }

  @Override
  public synchronized long monotonicNanoseconds() {
    if (Thread.currentThread().getName().startsWith(threadNamePrefix)) {
      awaitResumption();
    }
    return system.monotonicNanoseconds();
  }

  @Override
  public long wallMilliseconds() {
    return system.wallMilliseconds();
  }

  private void awaitResumption() {
    waitingThreads++;
    while (paused) {
      try {
        wait();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    waitingThreads--;
  }
}
