package org.corianderweir.bench.choice;

import java.util.PriorityQueue;

/** The event queue of the simulation: runs tasks in the order of simulated time. */
final class EventScheduler {
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long lastSequence;
  private double nowMilliseconds;

  private record Event(double dueMilliseconds, long sequence, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(dueMilliseconds, other.dueMilliseconds);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  double nowMilliseconds() {
    return nowMilliseconds;
  }

  long nowNanoseconds() {
    return (long) (nowMilliseconds * 1e6);
  }

  void schedule(double delayMilliseconds, Runnable task) {
    queue.add(new Event(nowMilliseconds + delayMilliseconds, ++lastSequence, task));
  }

  void runUntilEmpty() {
    Event next = queue.poll();
    while (next != null) {
      nowMilliseconds = next.dueMilliseconds();
      next.task().run();
      next = queue.poll();
    }
  }
}
