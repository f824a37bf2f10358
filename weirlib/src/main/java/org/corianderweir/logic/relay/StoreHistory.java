package org.corianderweir.logic.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.store.StoreChange;

/** The latest changes of the store, bounded in number and size. Not thread-safe. */
final class StoreHistory {
  private static final int CHANGE_LIMIT = 1_024;
  private static final int LIMIT_BYTES = 256 * 1024;

  private final Deque<StoreChange> changes = new ArrayDeque<>();
  private long firstRevision;
  private long sizeBytes;

  /** Drops all changes and continues after a revision. */
  void restart(long revision) {
    changes.clear();
    sizeBytes = 0;
    firstRevision = revision;
  }

  /** Adds changes that follow the present ones. */
  void add(List<StoreChange> added) {
    for (StoreChange change : added) {
      changes.addLast(change);
      sizeBytes += size(change);
    }
    while (changes.size() > CHANGE_LIMIT || sizeBytes > LIMIT_BYTES) {
      StoreChange oldest = changes.removeFirst();
      sizeBytes -= size(oldest);
      firstRevision = oldest.revision();
    }
  }

  /** Returns the changes after a revision; empty if some of them were dropped. */
  Optional<List<StoreChange>> since(long revision) {
    if (revision < firstRevision) {
      return Optional.empty();
    }
    List<StoreChange> later = new ArrayList<>();
    for (StoreChange change : changes) {
      if (change.revision() > revision) {
        later.add(change);
      }
    }
    return Optional.of(later);
  }

  private static long size(StoreChange change) {
    return switch (change) {
      case StoreChange.Written written ->
          written.key().length() + (long) written.item().value().length;
      case StoreChange.Removed removed -> removed.key().length();
    };
  }
}
