package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** Sends arrivals at their times on a thread of its own, without waiting for answers. */
public final class LoadRun {
  private static final long DRAIN_POLL_NANOSECONDS = 20_000_000;

  private final List<Arrival> arrivals;
  private final RequestSender sender;
  private final long startNanoseconds;
  private final Thread thread;

  /**
   * Prepares a run.
   *
   * @param startNanoseconds monotonic time that the arrivals count from
   */
  public LoadRun(List<Arrival> arrivals, RequestSender sender, long startNanoseconds) {
    this.arrivals = arrivals;
    this.sender = sender;
    this.startNanoseconds = startNanoseconds;
    thread = Thread.ofPlatform().daemon().name("arrivals").unstarted(this::sendAll);
  }

  /** Starts to send. */
  public void start() {
    thread.start();
  }

  /** Waits until all requests have ended, or the limit has passed; returns whether they have. */
  public boolean awaitEnd(Duration limit) {
    long deadline = System.nanoTime() + limit.toNanos();
    while (thread.isAlive() || sender.pending() > 0) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      LockSupport.parkNanos(DRAIN_POLL_NANOSECONDS);
    }
    return true;
  }

  private void sendAll() {
    for (Arrival arrival : arrivals) {
      long due = startNanoseconds + arrival.offsetNanoseconds();
      long wait = due - System.nanoTime();
      while (wait > 0) {
        LockSupport.parkNanos(wait);
        wait = due - System.nanoTime();
      }
      sender.send(arrival, due);
    }
  }
}
