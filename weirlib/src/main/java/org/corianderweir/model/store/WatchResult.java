package org.corianderweir.model.store;

import java.util.List;

/** The answer to a watch. */
public sealed interface WatchResult {
  /**
   * The changes since the revision that was asked for.
   *
   * @param changes the changes in order; empty if there was none in time
   * @param revision revision from which to go on
   */
  record Changes(List<StoreChange> changes, long revision) implements WatchResult {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /** The store has dropped the history since that revision; the items must be listed again. */
  record Compacted() implements WatchResult {}
}
