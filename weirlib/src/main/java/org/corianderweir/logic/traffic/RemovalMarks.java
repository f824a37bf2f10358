package org.corianderweir.logic.traffic;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the latest removals, since a listing that began before a removal may arrive after it.
 * Not thread-safe.
 */
final class RemovalMarks {
  private static final int LIMIT = 4_096;

  private final Map<String, Long> revisionsByKey = new LinkedHashMap<>();

  void add(String key, long revision) {
    long latest = Math.max(revision, revisionsByKey.getOrDefault(key, revision));
    // Removed first, so that a key that is added again counts as a late one.
    revisionsByKey.remove(key);
    revisionsByKey.put(key, latest);
    if (revisionsByKey.size() > LIMIT) {
      revisionsByKey.remove(revisionsByKey.keySet().iterator().next());
    }
  }

  /** Returns whether a key was removed after the given revision of its item. */
  boolean isRemoved(String key, long itemRevision) {
    return revisionsByKey.getOrDefault(key, Long.MIN_VALUE) > itemRevision;
  }
}
