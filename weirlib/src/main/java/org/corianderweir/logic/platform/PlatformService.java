package org.corianderweir.logic.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/**
 * The platform's key-value service and instance list.
 *
 * <p>Every future fails with a {@link org.corianderweir.model.WeirException}: {@code
 * PLATFORM_UNAVAILABLE} when the service certainly did nothing, {@code ANSWER_LOST} or {@code
 * DEADLINE_EXCEEDED} when a write may have taken effect.
 */
public interface PlatformService {
  /** Reads a key. */
  CompletableFuture<Optional<StoredValue>> read(String key);

  /**
   * Writes a key if its version is the expected one.
   *
   * @param expectedVersion version that must be current; zero if the key must be absent
   */
  CompletableFuture<WriteResult> compareAndSwap(String key, long expectedVersion, String value);

  /**
   * Waits until a key has a version above the given one, or the time is over; then reads it.
   *
   * @param knownVersion version that the caller has already
   * @param patience longest time that the service holds the call
   */
  CompletableFuture<Optional<StoredValue>> watch(String key, long knownVersion, Duration patience);

  /** Reads the list of entry instances. */
  CompletableFuture<List<ListedInstance>> listInstances();
}
