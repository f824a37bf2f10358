package org.corianderweir.logic.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;

/** What an instance does with an update of another one. */
public sealed interface RelayReaction {
  /** The update holds nothing new. */
  record None() implements RelayReaction {}

  /**
   * The changes are applied to the view of the fleet.
   *
   * @param changes changes in the order of their revisions; may be empty
   * @param recoveredAge time since the store recovered from an outage, if it did lately
   */
  record Apply(List<StoreChange> changes, Optional<Duration> recoveredAge)
      implements RelayReaction {}

  /**
   * The items replace those of the view of the fleet, as a listing of the store does.
   *
   * @param items all items of the store that are in use
   * @param revision revision of the store at which they were read
   * @param recoveredAge time since the store recovered from an outage, if it did lately
   */
  record Replace(List<StoreItem> items, long revision, Optional<Duration> recoveredAge)
      implements RelayReaction {}

  /**
   * Changes before the update are missing and requested from its sender.
   *
   * @param afterRevision revision after which changes are missing
   */
  record Request(long afterRevision) implements RelayReaction {}
}
