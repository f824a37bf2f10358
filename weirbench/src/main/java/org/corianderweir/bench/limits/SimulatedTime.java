package org.corianderweir.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of simulated time. */
final class SimulatedTime {
  static final long MILLISECOND = 1_000_000L;
  static final long SECOND = 1_000 * MILLISECOND;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
  private long now;
  private long order;

  private record Task(long at, long order, Runnable action) {}

  long now() {
    return now;
  }

  void after(long nanoseconds, Runnable action) {
    tasks.add(new Task(now + nanoseconds, order++, action));
  }

  void runUntil(long endNanoseconds) {
    while (!tasks.isEmpty() && tasks.element().at() <= endNanoseconds) {
      Task task = tasks.remove();
      now = task.at();
      task.action().run();
    }
    now = endNanoseconds;
  }
}
