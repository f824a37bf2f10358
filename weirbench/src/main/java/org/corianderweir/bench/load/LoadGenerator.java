package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends the arrivals of a schedule at their times on a thread of its own, without waiting for
 * responses.
 */
public final class LoadGenerator {
  private static final long POLL_INTERVAL_NANOSECONDS = 20_000_000;

  private final List<Arrival> arrivals;
  private final RequestSender sender;
  private final long startNanoseconds;
  private final Thread thread;

  /**
   * Prepares a run without starting it.
   *
   * @param startNanoseconds monotonic time from which the offsets of the arrivals count
   */
  public LoadGenerator(List<Arrival> arrivals, RequestSender sender, long startNanoseconds) {
    this.arrivals = arrivals;
    this.sender = sender;
    this.startNanoseconds = startNanoseconds;
    thread = Thread.ofPlatform().daemon().name("arrivals").unstarted(this::sendAll);
  }

  /** Starts sending. */
  public void start() {
    thread.start();
  }

  /**
   * Waits until all requests have ended.
   *
   * @return false if the timeout passed before
   */
  public boolean awaitEnd(Duration timeout) {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (thread.isAlive() || sender.pending() > 0) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOSECONDS);
    }
    return true;
  }

  private void sendAll() {
    for (Arrival arrival : arrivals) {
      long dueNanoseconds = startNanoseconds + arrival.offsetNanoseconds();
      long remainingNanoseconds = dueNanoseconds - System.nanoTime();
      while (remainingNanoseconds > 0) {
        LockSupport.parkNanos(remainingNanoseconds);
        remainingNanoseconds = dueNanoseconds - System.nanoTime();
      }
      sender.send(arrival, dueNanoseconds);
    }
  }
}
