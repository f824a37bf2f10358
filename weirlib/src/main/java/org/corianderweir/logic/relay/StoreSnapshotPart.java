package org.corianderweir.logic.relay;

import java.util.List;
import java.util.Optional;
import org.corianderweir.model.store.StoreItem;

/**
 * A part of the items of the store at a revision: all items whose keys are in a range. The ranges
 * of the parts of a snapshot continue each other.
 *
 * @param confirmation an update without changes, which names the revision
 * @param afterKey key after which the range begins; empty for the first part
 * @param throughKey last key of the range; absent in the last part, whose range has no end
 * @param items the items in the range
 */
public record StoreSnapshotPart(
    StoreUpdate confirmation, String afterKey, Optional<String> throughKey, List<StoreItem> items) {
  /** Copies the list. */
  public StoreSnapshotPart {
    items = List.copyOf(items);
  }
}
