package org.corianderweir.bench.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.corianderweir.model.store.WatchResult;

/** The metadata store of a simulation: its items, its changes and the watches that wait for one. */
final class SimulatedStore {
  /** Changes in one answer of the platform's store. */
  private static final int ANSWER_LIMIT = 500;

  private final Map<String, StoreItem> items = new TreeMap<>();
  private final List<StoreChange> changes = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private long revision = 1;

  long revision() {
    return revision;
  }

  List<StoreItem> items() {
    return List.copyOf(items.values());
  }

  /** Returns the first changes after a revision, as many as one answer has. */
  WatchResult.Changes watchResult(long known) {
    int first = changes.size();
    while (first > 0 && changes.get(first - 1).revision() > known) {
      first--;
    }
    int end = Math.min(changes.size(), first + ANSWER_LIMIT);
    return new WatchResult.Changes(
        changes.subList(first, end),
        end < changes.size() ? changes.get(end - 1).revision() : revision);
  }

  void put(String key, String value) {
    revision++;
    StoreItem item = new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision);
    items.put(key, item);
    changes.add(new StoreChange.Written(item));
    wake();
  }

  void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      changes.add(new StoreChange.Removed(key, revision));
      wake();
    }
  }

  /** Calls a task once, at the next change. */
  void onChange(Runnable task) {
    waiting.add(task);
  }

  private void wake() {
    List<Runnable> woken = List.copyOf(waiting);
    waiting.clear();
    woken.forEach(Runnable::run);
  }
}
