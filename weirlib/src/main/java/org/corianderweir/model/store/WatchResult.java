package org.corianderweir.model.store;

import java.util.List;

/** The result of a watch. */
public sealed interface WatchResult {
  /**
   * The changes since the requested revision.
   *
   * @param changes changes in order; empty if there was none before the timeout
   * @param revision revision from which the next watch continues
   */
  record Changes(List<StoreChange> changes, long revision) implements WatchResult {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /**
   * The store has compacted the history after the requested revision; the items must be listed
   * again.
   */
  record Compacted() implements WatchResult {}
}
