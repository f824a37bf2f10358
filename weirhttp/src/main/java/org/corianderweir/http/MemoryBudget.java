package org.corianderweir.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that several bodies hold in memory together. Thread-safe. */
public final class MemoryBudget {
  private final long limitBytes;
  private final AtomicLong reservedBytes = new AtomicLong();
  private final Queue<Runnable> waiting = new ConcurrentLinkedQueue<>();

  /** Creates a budget of which nothing is reserved. */
  public MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the largest number of bytes that can be reserved. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the number of bytes that are reserved. */
  public long reservedBytes() {
    return reservedBytes.get();
  }

  /** Returns whether nothing more can be reserved. */
  boolean isExhausted() {
    return reservedBytes.get() >= limitBytes;
  }

  /** Returns whether less than a quarter is left or tasks wait for bytes. */
  boolean isShort() {
    return reservedBytes.get() > limitBytes / 4 * 3 || !waiting.isEmpty();
  }

  /** Reserves bytes; returns false and reserves nothing if the limit does not allow it. */
  boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Reserves bytes that are held already, also above the limit. */
  void reserve(long bytes) {
    reservedBytes.addAndGet(bytes);
  }

  /** Gives bytes back, and tells those who wait for them. */
  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
    for (int count = waiting.size(); count > 0; count--) {
      Runnable next = waiting.poll();
      if (next != null) {
        next.run();
      }
    }
  }

  /**
   * Runs a task once when bytes are given back, on the thread that does so. Keeps the task until
   * then or until it is forgotten.
   */
  void whenReleased(Runnable task) {
    waiting.add(task);
  }

  /** Drops a task that waits for bytes. */
  void forget(Runnable task) {
    waiting.remove(task);
  }

  /** Returns the number of tasks that wait for bytes. */
  int waitingCount() {
    return waiting.size();
  }
}
