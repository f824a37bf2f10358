package org.corianderweir.logic.timeline;

import java.util.ArrayDeque;
import java.util.List;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.timeline.TimelineEvent;

/** A ring buffer of the latest events of one process. Thread-safe. */
public final class EventRing {
  private final String process;
  private final int capacity;
  private final HybridLogicalClock clock;
  private final ArrayDeque<TimelineEvent> events = new ArrayDeque<>();

  /**
   * Creates an empty ring.
   *
   * @param process name of the process that the events belong to
   * @param capacity largest number of events kept
   */
  public EventRing(String process, int capacity, HybridLogicalClock clock) {
    this.process = process;
    this.capacity = capacity;
    this.clock = clock;
  }

  /** Adds an event that happens now and returns it. */
  public synchronized TimelineEvent record(
      EventCode code, String subject, String detail, long wallMilliseconds) {
    TimelineEvent event =
        new TimelineEvent(clock.tick(wallMilliseconds), process, code, subject, detail);
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
    return event;
  }

  /** Returns the events kept, oldest first. */
  public synchronized List<TimelineEvent> snapshot() {
    return List.copyOf(events);
  }
}
