package org.corianderweir.logic.delivery;

import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Keeps the outcome of each request with an identifier of one incarnation until the identifier
 * expires. No outcome is removed earlier: while the registry is full, further requests are refused.
 * Thread-safe.
 *
 * @param <T> type of the holder of a request's outcome
 */
public final class RunOnceRegistry<T> {
  private final int capacity;
  private final TreeMap<Long, Entry<T>> entriesByNumber = new TreeMap<>();
  private long latestMilliseconds = Long.MIN_VALUE;

  private record Entry<T>(String contentDigest, long expiresMilliseconds, T outcome) {}

  /**
   * Creates an empty registry.
   *
   * @param capacity largest number of outcomes kept
   */
  public RunOnceRegistry(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Decides whether a request may run.
   *
   * <p>A thread that was paused may pass a time that is older than the expiry of entries that were
   * removed since then, so the latest time that any thread has passed decides what has expired.
   *
   * @param identifier identifier of this incarnation
   * @param contentDigest digest of the caller and the request; a repetition has the same digest
   * @param nowMilliseconds present time on the scale of the identifier's expiry
   * @param outcomeFactory creates the holder for the outcome of a first request
   */
  public synchronized Claim<T> claim(
      RequestIdentifier identifier,
      String contentDigest,
      long nowMilliseconds,
      Supplier<T> outcomeFactory) {
    removeExpired(nowMilliseconds);
    if (identifier.expiresMilliseconds() <= latestMilliseconds) {
      return new Claim.Expired<>();
    }
    Entry<T> existing = entriesByNumber.get(identifier.number());
    if (existing != null) {
      return existing.contentDigest().equals(contentDigest)
          ? new Claim.Duplicate<>(existing.outcome())
          : new Claim.ContentMismatch<>();
    }
    if (entriesByNumber.size() >= capacity) {
      return new Claim.CapacityExceeded<>();
    }
    Entry<T> entry =
        new Entry<>(contentDigest, identifier.expiresMilliseconds(), outcomeFactory.get());
    entriesByNumber.put(identifier.number(), entry);
    return new Claim.Granted<>(entry.outcome());
  }

  /** Removes a request that certainly did not run, so that a repetition may run. */
  public synchronized void release(RequestIdentifier identifier) {
    entriesByNumber.remove(identifier.number());
  }

  /** Returns whether a request with this identifier is running or may have run. */
  public synchronized boolean mayHaveRun(RequestIdentifier identifier) {
    return identifier.expiresMilliseconds() <= latestMilliseconds
        || entriesByNumber.containsKey(identifier.number());
  }

  /** Returns the number of outcomes kept. */
  public synchronized int size() {
    return entriesByNumber.size();
  }

  /**
   * Removes expired entries from the lowest number on, since identifiers expire in the order of
   * their numbers.
   */
  private void removeExpired(long nowMilliseconds) {
    latestMilliseconds = Math.max(latestMilliseconds, nowMilliseconds);
    while (!entriesByNumber.isEmpty()
        && entriesByNumber.firstEntry().getValue().expiresMilliseconds() <= latestMilliseconds) {
      entriesByNumber.pollFirstEntry();
    }
  }
}
