package org.corianderweir.logic.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.store.StoreItem;

/**
 * Collects the parts of a snapshot of one sender at one revision. Parts may arrive in any order and
 * may be missing; the snapshot is complete if their ranges cover all keys. Not thread-safe.
 */
final class SnapshotAssembly {
  /** More parts than a snapshot of the largest size has. */
  private static final int LIMIT_PARTS = 256;

  private final Map<String, StoreSnapshotPart> partsByAfterKey = new HashMap<>();
  private String sender = "";
  private long revision;

  /** Adds a part and returns all items of the snapshot if this part completes it. */
  Optional<List<StoreItem>> add(String partSender, StoreSnapshotPart part) {
    boolean sameSnapshot =
        partSender.equals(sender) && part.confirmation().toRevision() == revision;
    if (!sameSnapshot || partsByAfterKey.size() >= LIMIT_PARTS) {
      clear();
      sender = partSender;
      revision = part.confirmation().toRevision();
    }
    partsByAfterKey.put(part.afterKey(), part);
    Optional<List<StoreItem>> items = completeItems();
    if (items.isPresent()) {
      clear();
    }
    return items;
  }

  private Optional<List<StoreItem>> completeItems() {
    List<StoreItem> items = new ArrayList<>();
    StoreSnapshotPart part = partsByAfterKey.get("");
    while (part != null) {
      items.addAll(part.items());
      if (part.throughKey().isEmpty()) {
        return Optional.of(items);
      }
      part = partsByAfterKey.get(part.throughKey().get());
    }
    return Optional.empty();
  }

  private void clear() {
    partsByAfterKey.clear();
  }
}
