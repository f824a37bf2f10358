package org.corianderweir.bench.choice;

import java.util.PriorityQueue;

/** The future of the model: tasks in the order of their times. */
final class ModelEvents {
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long lastNumber;
  private double now;

  private record Event(double time, long number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  double now() {
    return now;
  }

  long nowNanoseconds() {
    return (long) (now * 1e6);
  }

  void after(double milliseconds, Runnable task) {
    queue.add(new Event(now + milliseconds, ++lastNumber, task));
  }

  void runUntilEmpty() {
    Event next = queue.poll();
    while (next != null) {
      now = next.time();
      next.task().run();
      next = queue.poll();
    }
  }
}
