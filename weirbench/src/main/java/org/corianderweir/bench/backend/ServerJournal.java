package org.corianderweir.bench.backend;

import java.util.ArrayList;
import java.util.List;

/** The requests that reached a backend server, in order of arrival. Thread-safe. */
final class ServerJournal {
  private final List<JournalEntry> entries = new ArrayList<>();
  private final JournalFile file;

  /** Creates an empty journal whose entries are also written to the file. */
  ServerJournal(JournalFile file) {
    this.file = file;
  }

  /** Adds a request and returns its position. */
  synchronized int add(JournalEntry entry) {
    entries.add(entry);
    int position = entries.size() - 1;
    file.write(position, entry);
    return position;
  }

  synchronized void recordEnd(int position, JournalEntry.Outcome outcome, long nanoseconds) {
    JournalEntry ended = entries.get(position).ended(outcome, nanoseconds);
    entries.set(position, ended);
    file.write(position, ended);
  }

  synchronized List<JournalEntry> entriesFrom(int position) {
    return List.copyOf(entries.subList(Math.min(position, entries.size()), entries.size()));
  }
}
