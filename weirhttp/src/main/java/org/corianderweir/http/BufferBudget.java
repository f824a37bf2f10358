package org.corianderweir.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that several bodies hold in memory together. Thread-safe. */
final class BufferBudget {
  private final long limitBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  BufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves bytes; returns false and reserves nothing if the limit does not allow it. */
  boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }
}
