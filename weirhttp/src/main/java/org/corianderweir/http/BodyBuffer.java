package org.corianderweir.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the parts of a body in segments, so that a growing body is not copied. Memory beyond a
 * small allowance counts against a budget that all bodies share: a body of usual size is never
 * refused because others are large. Not thread-safe, except for {@link #release}.
 */
final class BodyBuffer {
  private static final int FIRST_SEGMENT_BYTES = 1024;
  private static final int LARGEST_SEGMENT_BYTES = 64 * 1024;

  /** Memory of one body that does not count against the budget. */
  private static final int ALLOWANCE_BYTES = 64 * 1024;

  private final int limitBytes;
  private final BufferBudget budget;
  private final List<byte[]> segments = new ArrayList<>();
  private int allocatedBytes;
  private int sizeBytes;
  private long reservedBytes;
  private boolean released;

  /** The result of adding a part. */
  enum Addition {
    ADDED,
    BODY_TOO_LARGE,
    BUDGET_EXHAUSTED
  }

  /** Creates an empty body with a limit of its own and a budget that it shares with others. */
  BodyBuffer(int limitBytes, BufferBudget budget) {
    this.limitBytes = limitBytes;
    this.budget = budget;
  }

  /** Adds a part. After a result other than {@code ADDED} the body is incomplete. */
  Addition add(byte[] part) {
    if (part.length > limitBytes - sizeBytes) {
      return Addition.BODY_TOO_LARGE;
    }
    int added = 0;
    while (added < part.length) {
      if (sizeBytes == allocatedBytes && !addSegment()) {
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

  byte[] toByteArray() {
    byte[] body = new byte[sizeBytes];
    int position = 0;
    for (byte[] segment : segments) {
      int count = Math.min(segment.length, sizeBytes - position);
      System.arraycopy(segment, 0, body, position, count);
      position += count;
    }
    return body;
  }

  /** Gives the reserved memory back to the budget; the body can't grow any more. */
  synchronized void release() {
    released = true;
    budget.release(reservedBytes);
    reservedBytes = 0;
  }

  private boolean addSegment() {
    int segmentBytes = Math.clamp(allocatedBytes, FIRST_SEGMENT_BYTES, LARGEST_SEGMENT_BYTES);
    if (!reserve(segmentBytes)) {
      return false;
    }
    segments.add(new byte[segmentBytes]);
    allocatedBytes += segmentBytes;
    return true;
  }

  private synchronized boolean reserve(int bytes) {
    if (released) {
      return false;
    }
    if (allocatedBytes + bytes <= ALLOWANCE_BYTES) {
      return true;
    }
    if (!budget.tryReserve(bytes)) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }
}
