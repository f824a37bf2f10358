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
   * @param maximumWait longest time that the service holds the call
   */
  CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait);

  /**
   * Deletes a key if its version is the expected one. A key that is written again later goes on
   * with a higher version, so that an old expectation never fits.
   */
  CompletableFuture<WriteResult> delete(String key, long expectedVersion);

  /**
   * Acquires a lease, or renews it if the holder has it already.
   *
   * <p>The holder counts the duration from the moment at which it sent the call, never from the
   * answer.
   */
  CompletableFuture<LeaseResult> acquireLease(String name, String holder, Duration duration);

  /** Gives a lease back; nothing happens if the holder does not have it. */
  CompletableFuture<Void> releaseLease(String name, String holder);

  /** Reads the list of entry instances. */
  CompletableFuture<List<ListedInstance>> listInstances();
}
