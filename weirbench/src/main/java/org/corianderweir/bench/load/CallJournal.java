package org.corianderweir.bench.load;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Records all attempts of all callers. Thread-safe. */
public final class CallJournal {
  private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();

  /** Adds a finished attempt. */
  public void add(CallRecord record) {
    records.add(record);
  }

  /** Returns the attempts in the order in which they finished. */
  public List<CallRecord> records() {
    return List.copyOf(records);
  }
}
