package org.corianderweir.bench.backend;

import java.util.ArrayList;
import java.util.List;

/** The requests that reached a backend server, in order of arrival. Thread-safe. */
final class ServerJournal {
  private final List<JournalEntry> entries = new ArrayList<>();

  /** Adds a request and returns its position. */
  synchronized int add(JournalEntry entry) {
    entries.add(entry);
    return entries.size() - 1;
  }

  synchronized void end(int position, JournalEntry.Outcome outcome, long nanoseconds) {
    entries.set(position, entries.get(position).ended(outcome, nanoseconds));
  }

  synchronized List<JournalEntry> entriesFrom(int position) {
    return List.copyOf(entries.subList(Math.min(position, entries.size()), entries.size()));
  }
}
