package org.corianderweir.daemon.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.operator.ConfigurationMessages.RevisionEntry;

/** Remembers the latest configurations that were in force here since the start. Thread-safe. */
final class ConfigurationHistory {
  private static final int CAPACITY = 32;

  private final Deque<Entry> entries = new ArrayDeque<>();

  private record Entry(Configuration configuration, long inForceMilliseconds) {}

  synchronized void add(Configuration configuration, long wallMilliseconds) {
    if (entries.size() == CAPACITY) {
      entries.removeFirst();
    }
    entries.addLast(new Entry(configuration, wallMilliseconds));
  }

  synchronized List<RevisionEntry> revisions() {
    return entries.stream()
        .map(
            entry ->
                new RevisionEntry(
                    entry.configuration().revision(),
                    entry.configuration().operation(),
                    entry.inForceMilliseconds()))
        .toList();
  }

  synchronized Optional<Configuration> find(long revision) {
    return entries.stream()
        .map(Entry::configuration)
        .filter(configuration -> configuration.revision() == revision)
        .findFirst();
  }
}
