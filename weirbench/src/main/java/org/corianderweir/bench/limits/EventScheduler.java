package org.corianderweir.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The event queue of a discrete-event simulation: runs tasks in the order of simulated time. */
final class EventScheduler {
  static final long MILLISECOND_NANOSECONDS = 1_000_000L;
  static final long SECOND_NANOSECONDS = 1_000 * MILLISECOND_NANOSECONDS;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::dueNanoseconds).thenComparingLong(Task::sequence));
  private long nowNanoseconds;
  private long nextSequence;

  private record Task(long dueNanoseconds, long sequence, Runnable action) {}

  long nowNanoseconds() {
    return nowNanoseconds;
  }

  void schedule(long delayNanoseconds, Runnable action) {
    tasks.add(new Task(nowNanoseconds + delayNanoseconds, nextSequence++, action));
  }

  void runUntil(long endNanoseconds) {
    while (!tasks.isEmpty() && tasks.element().dueNanoseconds() <= endNanoseconds) {
      Task task = tasks.remove();
      nowNanoseconds = task.dueNanoseconds();
      task.action().run();
    }
    nowNanoseconds = endNanoseconds;
  }
}
