package org.corianderweir.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Collects the parts of a body. A body of known length is held once, in an array of that length;
 * one of unknown length is held in segments until it is complete. All of it is reserved from a
 * budget before it is allocated. Not thread-safe.
 */
final class BodyBuffer {
  private static final int FIRST_SEGMENT_BYTES = 1024;
  private static final int LARGEST_SEGMENT_BYTES = 64 * 1024;

  private static final byte[] NONE = new byte[0];

  private final int limitBytes;
  private final BodyMemory memory;
  private final MemoryLease lease;
  private final List<byte[]> segments = new ArrayList<>();
  private byte @Nullable [] whole;
  private int allocatedBytes;
  private int sizeBytes;

  /** The result of adding a part. */
  enum Addition {
    ADDED,
    BODY_TOO_LARGE,
    BUDGET_EXHAUSTED
  }

  /** Creates an empty body with a limit of its own, whose memory a lease holds. */
  BodyBuffer(int limitBytes, BodyMemory memory, MemoryLease lease) {
    this.limitBytes = limitBytes;
    this.memory = memory;
    this.lease = lease;
  }

  /** Reserves the memory for a body of a known length, before its first part. */
  Addition begin(long lengthBytes) {
    if (lengthBytes > limitBytes) {
      return Addition.BODY_TOO_LARGE;
    }
    if (lengthBytes > 0 && !lease.tryReserve(memory.budgetFor(lengthBytes), lengthBytes)) {
      return Addition.BUDGET_EXHAUSTED;
    }
    whole = new byte[(int) lengthBytes];
    return Addition.ADDED;
  }

  /**
   * Adds a part. After a result other than {@code ADDED} the body is incomplete and is dropped,
   * because its lease ends while the rest is still read.
   */
  Addition add(byte[] part) {
    int limit = whole == null ? limitBytes : whole.length;
    if (part.length > limit - sizeBytes) {
      drop();
      return Addition.BODY_TOO_LARGE;
    }
    if (whole != null) {
      System.arraycopy(part, 0, whole, sizeBytes, part.length);
      sizeBytes += part.length;
      return Addition.ADDED;
    }
    return addToSegments(part);
  }

  /** Returns whether no part was added yet. */
  boolean isEmpty() {
    return sizeBytes == 0;
  }

  /** Returns the complete body; empty if there is no memory to join its segments. */
  Optional<byte[]> take() {
    if (whole == null) {
      int heldBytes = allocatedBytes;
      if (!lease.tryReserve(memory.budgetFor(heldBytes), sizeBytes)) {
        drop();
        return Optional.empty();
      }
      whole = join();
      segments.clear();
      lease.release(memory.budgetFor(heldBytes), heldBytes);
    }
    return Optional.of(whole);
  }

  private void drop() {
    whole = NONE;
    segments.clear();
  }

  private Addition addToSegments(byte[] part) {
    int added = 0;
    while (added < part.length) {
      if (sizeBytes == allocatedBytes && !addSegment()) {
        drop();
        return Addition.BUDGET_EXHAUSTED;
      }
      byte[] segment = segments.getLast();
      int position = segment.length - (allocatedBytes - sizeBytes);
      int count = Math.min(part.length - added, segment.length - position);
      System.arraycopy(part, added, segment, position, count);
      added += count;
      sizeBytes += count;
    }
    return Addition.ADDED;
  }

  private byte[] join() {
    byte[] body = new byte[sizeBytes];
    int position = 0;
    for (byte[] segment : segments) {
      int count = Math.min(segment.length, sizeBytes - position);
      System.arraycopy(segment, 0, body, position, count);
      position += count;
    }
    return body;
  }

  private boolean addSegment() {
    int segmentBytes = Math.clamp(allocatedBytes, FIRST_SEGMENT_BYTES, LARGEST_SEGMENT_BYTES);
    if (!reserveSegment(segmentBytes)) {
      return false;
    }
    segments.add(new byte[segmentBytes]);
    allocatedBytes += segmentBytes;
    return true;
  }

  /** Reserves memory for one more segment; a body that is no longer small changes its budget. */
  private boolean reserveSegment(int segmentBytes) {
    MemoryBudget present = memory.budgetFor(allocatedBytes);
    MemoryBudget next = memory.budgetFor(allocatedBytes + segmentBytes);
    if (next == present) {
      return lease.tryReserve(next, segmentBytes);
    }
    if (!lease.tryReserve(next, allocatedBytes + segmentBytes)) {
      return false;
    }
    lease.release(present, allocatedBytes);
    return true;
  }
}
