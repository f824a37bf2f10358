package org.corianderweir.http;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * The memory that the bodies of one exchange hold, reserved from budgets until the exchange ends.
 * Thread-safe.
 */
public final class MemoryLease {
  private final Map<MemoryBudget, Long> reservedBytes = new IdentityHashMap<>(2);
  private boolean ended;

  /** Reserves bytes; returns false if the budget does not allow it or the lease has ended. */
  synchronized boolean tryReserve(MemoryBudget budget, long bytes) {
    if (ended || !budget.tryReserve(bytes)) {
      return false;
    }
    reservedBytes.merge(budget, bytes, Long::sum);
    return true;
  }

  /** Reserves bytes that are held already, also above the limit, unless the lease has ended. */
  synchronized void reserve(MemoryBudget budget, long bytes) {
    if (!ended) {
      budget.reserve(bytes);
      reservedBytes.merge(budget, bytes, Long::sum);
    }
  }

  /** Gives a part of the reserved bytes back. */
  void release(MemoryBudget budget, long bytes) {
    synchronized (this) {
      if (ended) {
        return;
      }
      reservedBytes.merge(budget, -bytes, Long::sum);
    }
    budget.release(bytes);
  }

  /** Ends the lease and gives everything back. Further calls have no effect. */
  public void end() {
    Map<MemoryBudget, Long> released;
    synchronized (this) {
      ended = true;
      released = new IdentityHashMap<>(reservedBytes);
      reservedBytes.clear();
    }
    // Outside the lock, because those who wait for the memory use leases of their own.
    released.forEach(MemoryBudget::release);
  }
}
