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
 * PLATFORM_UNAVAILABLE} if the store certainly did not perform the operation, {@code ANSWER_LOST}
 * or {@code DEADLINE_EXCEEDED} if a write may have taken effect or may still do so.
 */
public interface MetadataStore {
  /**
   * Reads one page of the items whose keys begin with a prefix.
   *
   * @param after key after which the page begins; empty means the first page
   */
  CompletableFuture<StorePage> list(String prefix, Optional<String> after);

  /**
   * Waits for changes of keys that begin with a prefix.
   *
   * @param revision revision after which changes are returned
   * @param maximumWait longest time for which the store waits for a change
   */
  CompletableFuture<WatchResult> watch(String prefix, long revision, Duration maximumWait);

  /** Acquires a lease. */
  CompletableFuture<Lease> acquireLease(Duration duration);

  /** Renews a lease; returns false if it has expired or was ended. */
  CompletableFuture<Boolean> renewLease(long lease);

  /** Ends a lease, which removes its keys. */
  CompletableFuture<Void> endLease(long lease);

  /** Writes a key with a lease; returns false if the lease has expired or was ended. */
  CompletableFuture<Boolean> write(String key, byte[] value, long lease);

  /** Creates a key without a lease; returns false if the key exists already. */
  CompletableFuture<Boolean> create(String key, byte[] value);
}
