package org.corianderweir.bench.load;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** All attempts of all callers. Thread-safe. */
public final class CallJournal {
  private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();

  /** Adds an attempt that has ended. */
  public void add(CallRecord record) {
    records.add(record);
  }

  /** Returns the attempts in order of their end. */
  public List<CallRecord> records() {
    return List.copyOf(records);
  }
}
