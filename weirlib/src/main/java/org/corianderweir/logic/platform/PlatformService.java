package org.corianderweir.logic.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/**
 * The platform's key-value service and instance list.
 *
 * <p>Every future fails with a {@link org.corianderweir.model.WeirException}: {@code
 * PLATFORM_UNAVAILABLE} if the service certainly did not perform the operation, {@code ANSWER_LOST}
 * or {@code DEADLINE_EXCEEDED} if a write may have taken effect.
 */
public interface PlatformService {
  /** Reads a key. */
  CompletableFuture<Optional<StoredValue>> read(String key);

  /**
   * Writes a key if its version is the expected one.
   *
   * @param expectedVersion version that the key must have; 0 if the key must not exist
   */
  CompletableFuture<WriteResult> compareAndSwap(String key, long expectedVersion, String value);

  /**
   * Waits until a key has a higher version than the given one or the wait time is over, and returns
   * its value.
   *
   * @param knownVersion version that the caller already knows
   * @param maximumWait longest time for which the service waits for a change
   */
  CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait);

  /**
   * Deletes a key if its version is the expected one. If the key is written again later, its
   * version continues to increase, so that an outdated expected version never matches.
   */
  CompletableFuture<WriteResult> delete(String key, long expectedVersion);

  /**
   * Acquires a lease, or renews it if the holder already has it.
   *
   * <p>The holder must count the duration from the time at which it sent the request, not from the
   * time of the answer.
   */
  CompletableFuture<LeaseResult> acquireLease(String name, String holder, Duration duration);

  /** Releases a lease; has no effect if the holder does not have it. */
  CompletableFuture<Void> releaseLease(String name, String holder);

  /** Reads the list of entry instances. */
  CompletableFuture<List<ListedInstance>> listInstances();
}
