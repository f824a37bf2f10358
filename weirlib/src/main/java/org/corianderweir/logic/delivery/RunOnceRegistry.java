package org.corianderweir.logic.delivery;

import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Keeps for each request identifier of one incarnation what became of it, until the identifier
 * expires. It forgets nothing earlier: when it is full, further requests are refused. Thread-safe.
 *
 * @param <T> what is kept of a request's outcome
 */
public final class RunOnceRegistry<T> {
  private final int capacity;
  private final TreeMap<Long, Entry<T>> entriesByNumber = new TreeMap<>();
  private long latestMilliseconds = Long.MIN_VALUE;

  private record Entry<T>(String content, long expiresMilliseconds, T outcome) {}

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
   * <p>A thread that was paused may come with a time that is older than what was forgotten since;
   * the latest time seen decides.
   *
   * @param identifier identifier of this incarnation
   * @param content digest of who asks for what; a repetition has the same
   * @param nowMilliseconds present time on the scale of the identifier's expiry
   * @param outcome makes the place for the outcome of a first request
   */
  public synchronized Claim<T> claim(
      RequestIdentifier identifier, String content, long nowMilliseconds, Supplier<T> outcome) {
    forgetExpired(nowMilliseconds);
    if (identifier.expiresMilliseconds() <= latestMilliseconds) {
      return new Claim.Expired<>();
    }
    Entry<T> known = entriesByNumber.get(identifier.number());
    if (known != null) {
      return known.content().equals(content)
          ? new Claim.Known<>(known.outcome())
          : new Claim.OtherContent<>();
    }
    if (entriesByNumber.size() >= capacity) {
      return new Claim.Full<>();
    }
    Entry<T> fresh = new Entry<>(content, identifier.expiresMilliseconds(), outcome.get());
    entriesByNumber.put(identifier.number(), fresh);
    return new Claim.Granted<>(fresh.outcome());
  }

  /** Forgets a request that certainly did not run, so that a repetition may. */
  public synchronized void release(RequestIdentifier identifier) {
    entriesByNumber.remove(identifier.number());
  }

  /** Returns whether a request with this identifier runs or may have run. */
  public synchronized boolean mayHaveRun(RequestIdentifier identifier) {
    return identifier.expiresMilliseconds() <= latestMilliseconds
        || entriesByNumber.containsKey(identifier.number());
  }

  /** Returns the number of outcomes kept. */
  public synchronized int size() {
    return entriesByNumber.size();
  }

  /** Identifiers expire in the order of their numbers. */
  private void forgetExpired(long nowMilliseconds) {
    latestMilliseconds = Math.max(latestMilliseconds, nowMilliseconds);
    while (!entriesByNumber.isEmpty()
        && entriesByNumber.firstEntry().getValue().expiresMilliseconds() <= latestMilliseconds) {
      entriesByNumber.pollFirstEntry();
    }
  }
}
