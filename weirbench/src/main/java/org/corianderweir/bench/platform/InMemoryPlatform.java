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
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/** An in-memory implementation of the platform's service. Thread-safe. */
public final class InMemoryPlatform implements PlatformService {
  private final Map<String, StoredValue> values = new TreeMap<>();
  private final Map<String, Long> latestVersions = new TreeMap<>();
  private final Map<String, Lease> leases = new TreeMap<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private final TimeSource time;
  private List<ListedInstance> instances = List.of();
  private boolean leasesFrozen;

  private record Watcher(
      String key, long knownVersion, CompletableFuture<Optional<StoredValue>> response) {}

  private record Lease(String holder, long token, long endNanoseconds) {}

  /** Creates an empty store; the given clock determines when leases expire. */
  public InMemoryPlatform(TimeSource time) {
    this.time = time;
  }

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
      long version = currentVersion(key);
      if (version != expectedVersion) {
        return CompletableFuture.completedFuture(new WriteResult.Conflict(version));
      }
      written = new StoredValue(latestVersions.merge(key, 1L, Long::sum), value);
      values.put(key, written);
      removeDueWatchers(key, written.version(), due);
    }
    due.forEach(watcher -> watcher.response().complete(Optional.of(written)));
    return CompletableFuture.completedFuture(new WriteResult.Written(written.version()));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
    long version = currentVersion(key);
    if (version != expectedVersion) {
      return CompletableFuture.completedFuture(new WriteResult.Conflict(version));
    }
    values.remove(key);
    return CompletableFuture.completedFuture(new WriteResult.Written(version));
  }

  @Override
  public synchronized CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait) {
    StoredValue current = values.get(key);
    if (current != null && current.version() > knownVersion) {
      return CompletableFuture.completedFuture(Optional.of(current));
    }
    CompletableFuture<Optional<StoredValue>> response = new CompletableFuture<>();
    Watcher watcher = new Watcher(key, knownVersion, response);
    watchers.add(watcher);
    CompletableFuture.delayedExecutor(maximumWait.toNanos(), TimeUnit.NANOSECONDS)
        .execute(() -> expire(watcher));
    return response;
  }

  @Override
  public synchronized CompletableFuture<LeaseResult> acquireLease(
      String name, String holder, Duration duration) {
    long now = time.monotonicNanoseconds();
    Lease current = leases.get(name);
    boolean held = current != null && (leasesFrozen || current.endNanoseconds() - now > 0);
    if (current != null && held && !current.holder().equals(holder)) {
      return CompletableFuture.completedFuture(new LeaseResult.HeldByOther(current.holder()));
    }
    long token = current == null ? 1 : current.token() + (held ? 0 : 1);
    leases.put(name, new Lease(holder, token, now + duration.toNanos()));
    return CompletableFuture.completedFuture(new LeaseResult.Granted(token));
  }

  @Override
  public synchronized CompletableFuture<Void> releaseLease(String name, String holder) {
    Lease current = leases.get(name);
    if (current != null && current.holder().equals(holder)) {
      leases.put(name, new Lease("", current.token(), time.monotonicNanoseconds()));
    }
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public synchronized CompletableFuture<List<ListedInstance>> listInstances() {
    return CompletableFuture.completedFuture(instances);
  }

  /** Replaces the list of entry instances. */
  public synchronized void setInstances(List<ListedInstance> newInstances) {
    instances = List.copyOf(newInstances);
  }

  /** Sets whether leases are frozen: a frozen lease never expires, even if its holder is gone. */
  public synchronized void setLeasesFrozen(boolean frozen) {
    leasesFrozen = frozen;
  }

  /** Returns the keys that have a value. */
  public synchronized List<String> keys() {
    return List.copyOf(values.keySet());
  }

  private long currentVersion(String key) {
    StoredValue current = values.get(key);
    return current == null ? 0 : current.version();
  }

  private void removeDueWatchers(String key, long version, List<Watcher> due) {
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
    watcher.response().complete(current);
  }
}
