package org.corianderweir.bench.metadata;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The items, change history and leases of the stand-in's store. Not thread-safe. */
final class StoreState {
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Long> leaseEndMilliseconds = new HashMap<>();
  private long revision = 1;
  private long oldestRevision = 1;
  private long nextLease = 100;

  /** A stored item. The value is encoded in Base64, as in the protocol. */
  record Item(String key, String value, long revision, long lease) {}

  /** A change of a key; the item is empty if the key was removed. */
  record Change(String key, Optional<Item> item, long revision) {}

  long revision() {
    return revision;
  }

  Map<String, Item> items() {
    return items;
  }

  boolean hasHistoryAfter(long afterRevision) {
    return afterRevision >= oldestRevision - 1;
  }

  List<Change> changesAfter(long afterRevision, String prefix) {
    return history.stream()
        .filter(change -> change.revision() > afterRevision && change.key().startsWith(prefix))
        .toList();
  }

  void compactHistory() {
    history.clear();
    oldestRevision = revision + 1;
  }

  void put(String key, String value, long lease) {
    revision++;
    Item item = new Item(key, value, revision, lease);
    items.put(key, item);
    history.add(new Change(key, Optional.of(item), revision));
  }

  void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(new Change(key, Optional.empty(), revision));
    }
  }

  long acquireLease(long endMilliseconds) {
    nextLease++;
    leaseEndMilliseconds.put(nextLease, endMilliseconds);
    return nextLease;
  }

  boolean renewLease(long lease, long endMilliseconds) {
    return leaseEndMilliseconds.computeIfPresent(lease, (unused, end) -> endMilliseconds) != null;
  }

  boolean isLeaseHeld(long lease) {
    return lease == 0 || leaseEndMilliseconds.containsKey(lease);
  }

  void endLease(long lease) {
    leaseEndMilliseconds.remove(lease);
    List<String> keys =
        items.values().stream().filter(item -> item.lease() == lease).map(Item::key).toList();
    keys.forEach(this::remove);
  }

  void endExpiredLeases(long nowMilliseconds) {
    List<Long> expired =
        leaseEndMilliseconds.entrySet().stream()
            .filter(entry -> entry.getValue() <= nowMilliseconds)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::endLease);
  }
}
