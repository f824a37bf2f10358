package org.corianderweir.daemon.operator;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/**
 * A platform service that stores values in memory. It has no leases, a watch never waits, and a
 * delete ignores the expected version.
 */
final class FakePlatformService implements PlatformService {
  private final Map<String, StoredValue> values = new ConcurrentHashMap<>();

  @Override
  public CompletableFuture<Optional<StoredValue>> read(String key) {
    return CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedVersion, String value) {
    long current = Optional.ofNullable(values.get(key)).map(StoredValue::version).orElse(0L);
    if (current != expectedVersion) {
      return CompletableFuture.completedFuture(new WriteResult.Conflict(current));
    }
    values.put(key, new StoredValue(current + 1, value));
    return CompletableFuture.completedFuture(new WriteResult.Written(current + 1));
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait) {
    return read(key);
  }

  @Override
  public synchronized CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
    values.remove(key);
    return CompletableFuture.completedFuture(new WriteResult.Written(expectedVersion + 1));
  }

  @Override
  public CompletableFuture<LeaseResult> acquireLease(
      String name, String holder, Duration duration) {
    throw new UnsupportedOperationException("no leases");
  }

  @Override
  public CompletableFuture<Void> releaseLease(String name, String holder) {
    throw new UnsupportedOperationException("no leases");
  }

  @Override
  public CompletableFuture<List<ListedInstance>> listInstances() {
    return CompletableFuture.completedFuture(List.of());
  }
}
