package org.corianderweir.bench.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/** The platform's service in memory. Thread-safe. */
public final class InMemoryPlatform implements PlatformService {
  private final Map<String, StoredValue> values = new TreeMap<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private List<ListedInstance> instances = List.of();

  private record Watcher(
      String key, long knownVersion, CompletableFuture<Optional<StoredValue>> answer) {}

  @Override
  public synchronized CompletableFuture<Optional<StoredValue>> read(String key) {
    return CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedVersion, String value) {
    List<Watcher> due = new ArrayList<>();
    StoredValue written;
    synchronized (this) {
      StoredValue current = values.get(key);
      long version = current == null ? 0 : current.version();
      if (version != expectedVersion) {
        return CompletableFuture.completedFuture(new WriteResult.Conflict(version));
      }
      written = new StoredValue(version + 1, value);
      values.put(key, written);
      takeDueWatchers(key, written.version(), due);
    }
    due.forEach(watcher -> watcher.answer().complete(Optional.of(written)));
    return CompletableFuture.completedFuture(new WriteResult.Written(written.version()));
  }

  @Override
  public synchronized CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration patience) {
    StoredValue current = values.get(key);
    if (current != null && current.version() > knownVersion) {
      return CompletableFuture.completedFuture(Optional.of(current));
    }
    CompletableFuture<Optional<StoredValue>> answer = new CompletableFuture<>();
    Watcher watcher = new Watcher(key, knownVersion, answer);
    watchers.add(watcher);
    CompletableFuture.delayedExecutor(patience.toNanos(), TimeUnit.NANOSECONDS)
        .execute(() -> expire(watcher));
    return answer;
  }

  @Override
  public synchronized CompletableFuture<List<ListedInstance>> listInstances() {
    return CompletableFuture.completedFuture(instances);
  }

  /** Replaces the list of entry instances. */
  public synchronized void setInstances(List<ListedInstance> changed) {
    instances = List.copyOf(changed);
  }

  private void takeDueWatchers(String key, long version, List<Watcher> due) {
    Iterator<Watcher> iterator = watchers.iterator();
    while (iterator.hasNext()) {
      Watcher watcher = iterator.next();
      if (watcher.key().equals(key) && version > watcher.knownVersion()) {
        iterator.remove();
        due.add(watcher);
      }
    }
  }

  private void expire(Watcher watcher) {
    Optional<StoredValue> current;
    synchronized (this) {
      watchers.remove(watcher);
      current = Optional.ofNullable(values.get(watcher.key()));
    }
    watcher.answer().complete(current);
  }
}
