package org.corianderweir.logic.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.model.store.Lease;
import org.corianderweir.model.store.StorePage;
import org.corianderweir.model.store.WatchResult;

/**
 * A key-value store with one revision counter, watches and leases.
 *
 * <p>Every future fails with a {@link org.corianderweir.model.WeirException}: {@code
 * PLATFORM_UNAVAILABLE} when the store certainly did nothing, {@code ANSWER_LOST} or {@code
 * DEADLINE_EXCEEDED} when a write may have taken effect or may still do so.
 */
public interface MetadataStore {
  /**
   * Reads a part of the items below a prefix.
   *
   * @param after key after which the part begins; empty begins with the first
   */
  CompletableFuture<StorePage> list(String prefix, Optional<String> after);

  /**
   * Waits for changes below a prefix.
   *
   * @param revision changes after this revision are wanted
   * @param maximumWait longest time that the store holds the call
   */
  CompletableFuture<WatchResult> watch(String prefix, long revision, Duration maximumWait);

  /** Acquires a lease. */
  CompletableFuture<Lease> acquireLease(Duration duration);

  /** Renews a lease; returns false if it has ended. */
  CompletableFuture<Boolean> renewLease(long lease);

  /** Ends a lease and so removes its keys. */
  CompletableFuture<Void> endLease(long lease);

  /** Writes a key under a lease; returns false if the lease has ended. */
  CompletableFuture<Boolean> write(String key, byte[] value, long lease);

  /** Writes a key without a lease unless it exists; returns whether it did. */
  CompletableFuture<Boolean> create(String key, byte[] value);
}
