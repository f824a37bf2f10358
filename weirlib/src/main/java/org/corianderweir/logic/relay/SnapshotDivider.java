package org.corianderweir.logic.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.store.StoreItem;

/** Divides the items of the store into parts that fit into messages between instances. */
final class SnapshotDivider {
  /** Far below the largest frame of 2 MiB, so that other messages are not held up. */
  private static final int PART_LIMIT_BYTES = 256 * 1024;

  private static final int PART_LIMIT_ITEMS = 4_096;

  /** A link between two instances holds at most 4 MiB; a snapshot must not fill it. */
  private static final int SNAPSHOT_LIMIT_BYTES = 3 * 1024 * 1024;

  private SnapshotDivider() {}

  /**
   * Returns the parts of a snapshot; none if the items are too large to be sent at once.
   *
   * @param confirmation an update without changes, which names the revision of the items
   */
  static List<StoreSnapshotPart> divide(StoreUpdate confirmation, Collection<StoreItem> items) {
    if (items.stream().mapToLong(SnapshotDivider::sizeBytes).sum() > SNAPSHOT_LIMIT_BYTES) {
      return List.of();
    }
    List<StoreSnapshotPart> parts = new ArrayList<>();
    List<StoreItem> partItems = new ArrayList<>();
    String afterKey = "";
    long partBytes = 0;
    for (StoreItem item : items.stream().sorted(Comparator.comparing(StoreItem::key)).toList()) {
      boolean full =
          partItems.size() >= PART_LIMIT_ITEMS || partBytes + sizeBytes(item) > PART_LIMIT_BYTES;
      if (full && !partItems.isEmpty()) {
        String throughKey = partItems.get(partItems.size() - 1).key();
        parts.add(
            new StoreSnapshotPart(confirmation, afterKey, Optional.of(throughKey), partItems));
        afterKey = throughKey;
        partItems = new ArrayList<>();
        partBytes = 0;
      }
      partItems.add(item);
      partBytes += sizeBytes(item);
    }
    parts.add(new StoreSnapshotPart(confirmation, afterKey, Optional.empty(), partItems));
    return parts;
  }

  private static long sizeBytes(StoreItem item) {
    return item.key().length() + (long) item.value().length;
  }
}
