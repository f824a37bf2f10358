package org.corianderweir.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The requests in the bytes that a connection receives. Bytes that the codec can't use yet, such as
 * a head without its end, are held here in one array. Only one thread at a time reads from a
 * connection; the other methods are thread-safe.
 */
final class InboundStream {
  private static final int FIRST_ARRAY_BYTES = 128;
  private static final byte[] NONE = new byte[0];

  private enum Part {
    HEAD,
    /** The codec has a whole head and did not say yet what follows. */
    FRAMING_UNKNOWN,
    BODY,
    CHUNKS,
    /** The codec refuses what it got; further bytes are dropped. */
    REFUSED
  }

  private final UnfinishedRequests requests;
  private final Connection<?> connection;
  private final MemoryLease lease = new MemoryLease();
  private final int headLimitBytes;
  private ChunkedFraming chunks = new ChunkedFraming();
  private long bodyRemainingBytes;
  private int lineLength;
  private byte[] held = NONE;
  private int heldCount;
  private int restCount;
  private volatile Part part = Part.HEAD;
  private volatile long reservedBytes;
  private volatile long unfinishedSinceNanoseconds;
  private volatile long latestBytesNanoseconds;
  private volatile boolean unfinished;
  private boolean counted;
  private boolean left;

  InboundStream(UnfinishedRequests requests, Connection<?> connection, int headLimitBytes) {
    this.requests = requests;
    this.connection = connection;
    this.headLimitBytes = headLimitBytes;
  }

  Connection<?> connection() {
    return connection;
  }

  MemoryLease lease() {
    return lease;
  }

  /** Returns the bytes that are held for a request without its end. */
  long reservedBytes() {
    return reservedBytes;
  }

  void setReservedBytes(long bytes) {
    reservedBytes = bytes;
  }

  /** Returns whether a request has begun and its last byte has not arrived. */
  boolean isUnfinished() {
    return unfinished;
  }

  long unfinishedSinceNanoseconds() {
    return unfinishedSinceNanoseconds;
  }

  long latestBytesNanoseconds() {
    return latestBytesNanoseconds;
  }

  /**
   * Returns by how much the number of unfinished requests changed since the last call; 0 after the
   * connection has left.
   */
  synchronized int countChange() {
    if (left || counted == unfinished) {
      return 0;
    }
    counted = unfinished;
    return counted ? 1 : -1;
  }

  /** Ends the counting; returns whether the request was counted as unfinished. */
  synchronized boolean leave() {
    left = true;
    return counted;
  }

  /** Returns whether the unfinished part of a request is its head. */
  boolean isInHead() {
    return unfinished && part == Part.HEAD;
  }

  /** Returns whether the unfinished part of a request is its body. */
  boolean isInBody() {
    return unfinished && (part == Part.BODY || part == Part.CHUNKS);
  }

  /** Records that bytes arrived. */
  void onBytes(long nowNanoseconds) {
    latestBytesNanoseconds = nowNanoseconds;
    if (!unfinished) {
      unfinishedSinceNanoseconds = nowNanoseconds;
    }
  }

  /** Records what follows the head that the codec has parsed. */
  void onHead(boolean chunked, long lengthBytes) {
    if (chunked) {
      part = Part.CHUNKS;
      chunks = new ChunkedFraming();
    } else if (lengthBytes > 0) {
      part = Part.BODY;
      bodyRemainingBytes = lengthBytes;
    } else {
      endMessage();
    }
    requests.onChange(this);
  }

  /**
   * Goes over bytes up to the end of a head or of a request, or to the last byte that the codec can
   * use. Returns the position behind them.
   */
  int advance(Buffer input) {
    return switch (part) {
      case HEAD -> advanceHead(input);
      case BODY -> advanceBody(input);
      case CHUNKS -> advanceChunks(input);
      case FRAMING_UNKNOWN, REFUSED -> {
        // The codec closes the connection after its answer.
        input.position(input.limit());
        yield input.limit();
      }
    };
  }

  /** Returns whether what follows the passed bytes has to wait until the codec has used them. */
  boolean isAtBoundary() {
    return part == Part.HEAD || part == Part.FRAMING_UNKNOWN;
  }

  /** Returns whether the codec has yet to tell what follows the head that it gets. */
  boolean awaitsFraming() {
    return part == Part.FRAMING_UNKNOWN;
  }

  /** Returns the length of the array that is needed to hold more bytes. */
  int capacityFor(int additionalCount) {
    int needed = heldCount + additionalCount;
    return needed <= held.length
        ? held.length
        : Math.max(needed, Math.min(Math.max(FIRST_ARRAY_BYTES, 2 * held.length), headLimitBytes));
  }

  int restCount() {
    return restCount;
  }

  void setRestCount(int count) {
    restCount = count;
  }

  /** Holds the remaining bytes of a buffer. */
  void hold(Buffer input) {
    int count = input.remaining();
    int capacity = capacityFor(count);
    if (capacity != held.length) {
      byte[] larger = new byte[capacity];
      System.arraycopy(held, 0, larger, 0, heldCount);
      held = larger;
    }
    input.get(held, heldCount, count);
    heldCount += count;
    input.tryDispose();
  }

  /**
   * Returns the held bytes and those of a buffer in an array of their size. Data of bodies is
   * passed on as it is, because it is copied and released at once.
   */
  Buffer join(Buffer input) {
    boolean data = part == Part.BODY || part == Part.CHUNKS;
    if (heldCount == 0 && (data || !unfinished)) {
      return input;
    }
    byte[] joined = new byte[heldCount + input.remaining()];
    System.arraycopy(held, 0, joined, 0, heldCount);
    input.get(joined, heldCount, input.remaining());
    input.tryDispose();
    held = NONE;
    heldCount = 0;
    return wrap(joined);
  }

  /** Returns the remaining bytes of a buffer in an array of their size. */
  static Buffer copy(Buffer input) {
    byte[] bytes = new byte[input.remaining()];
    input.get(bytes);
    input.tryDispose();
    return wrap(bytes);
  }

  private static Buffer wrap(byte[] bytes) {
    return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
  }

  private int advanceHead(Buffer input) {
    if (heldCount == 0) {
      skipLineEnds(input);
    }
    unfinished = unfinished || input.hasRemaining();
    for (int index = input.position(); index < input.limit(); index++) {
      byte next = input.get(index);
      if (next == '\n') {
        if (lineLength == 0) {
          part = Part.FRAMING_UNKNOWN;
          return index + 1;
        }
        lineLength = 0;
      } else if (next != '\r') {
        lineLength++;
      }
    }
    return heldCount + input.remaining() > headLimitBytes ? refuse(input) : input.position();
  }

  /** Skips empty lines before a head (RFC 9112, section 2.2). */
  private static void skipLineEnds(Buffer input) {
    while (input.hasRemaining()
        && (input.get(input.position()) == '\r' || input.get(input.position()) == '\n')) {
      input.position(input.position() + 1);
    }
  }

  private int advanceBody(Buffer input) {
    int count = (int) Math.min(bodyRemainingBytes, input.remaining());
    bodyRemainingBytes -= count;
    if (bodyRemainingBytes == 0) {
      endMessage();
    }
    return input.position() + count;
  }

  private int advanceChunks(Buffer input) {
    // Read from the array, since a body may consist of thousands of chunks of one byte.
    byte[] bytes = input.hasArray() ? input.array() : copyOf(input);
    int offset = input.hasArray() ? input.arrayOffset() : -input.position();
    int index = input.position();
    int usable = index;
    while (index < input.limit() && !chunks.isAtEnd()) {
      int dataCount = (int) Math.min(chunks.dataRemainingBytes(), input.limit() - index);
      if (dataCount > 0) {
        chunks.skipData(dataCount);
        index += dataCount;
        usable = index;
      } else if (chunks.advance(bytes[offset + index++])) {
        usable = index;
      }
      if (chunks.isInvalid()) {
        return refuse(input);
      }
    }
    if (chunks.isAtEnd()) {
      endMessage();
    } else if (heldCount + input.limit() - usable > headLimitBytes && usable == input.position()) {
      return refuse(input);
    }
    return usable;
  }

  private static byte[] copyOf(Buffer input) {
    byte[] bytes = new byte[input.remaining()];
    int position = input.position();
    input.get(bytes);
    input.position(position);
    return bytes;
  }

  /** Passes on everything, for the codec to refuse it. */
  private int refuse(Buffer input) {
    part = Part.REFUSED;
    return input.limit();
  }

  private void endMessage() {
    part = Part.HEAD;
    lineLength = 0;
    unfinished = false;
  }
}
