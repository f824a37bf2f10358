package org.corianderweir.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;

/**
 * Bytes of one connection that were read but not parsed yet: those behind the requests that may be
 * read ahead, and those that a look at the connection has read. Thread-safe.
 */
final class ReadAhead {
  /**
   * Bytes that are held before reading pauses. While fewer are held, reading goes on, so that the
   * end of the connection is noticed.
   */
  static final int LIMIT_BYTES = 16 * 1024;

  /**
   * Bytes of a read while there is no memory for bytes that are held, so that thousands of
   * connections together hold little more than the budget.
   */
  private static final int SMALL_READ_BYTES = 2 * 1024;

  private static final int PROBE_BYTES = 1;
  private static final byte[] NONE = new byte[0];

  private final MemoryBudget budget;
  private final MemoryLease lease = new MemoryLease();
  private byte[] held = NONE;
  private byte[] probed = NONE;
  private boolean paused;
  private boolean dropping;

  /** What a look at a connection has found. */
  enum Probe {
    OPEN,
    OPEN_WITH_BYTES,
    ENDED
  }

  ReadAhead(MemoryBudget budget) {
    this.budget = budget;
  }

  /**
   * Reads what has arrived without blocking; returns it behind the bytes that were read before, or
   * empty if the caller has left.
   *
   * @param space used for the read only
   */
  synchronized Optional<byte[]> read(SocketChannel channel, ByteBuffer space) {
    space.clear();
    if (budget.isExhausted()) {
      space.limit(SMALL_READ_BYTES);
    }
    int count;
    try {
      count = channel.read(space);
    } catch (IOException reset) {
      return Optional.empty();
    }
    if (count < 0) {
      return Optional.empty();
    }
    byte[] all = new byte[size() + count];
    System.arraycopy(held, 0, all, 0, held.length);
    System.arraycopy(probed, 0, all, held.length, probed.length);
    space.flip().get(all, size(), count);
    if (size() > 0) {
      lease.release(budget, size());
      held = NONE;
      probed = NONE;
    }
    return Optional.of(all);
  }

  /** Keeps the bytes that are left of the latest read. */
  synchronized void hold(Buffer rest) {
    if (dropping || !rest.hasRemaining()) {
      return;
    }
    // Copied to its size, since the buffer of a read is larger than most rests.
    byte[] bytes = new byte[rest.remaining()];
    rest.get(bytes);
    lease.reserve(budget, bytes.length);
    held = join(held, bytes);
  }

  /** Pauses reading if there are so many bytes that no more are read; returns whether it did. */
  synchronized boolean pauseIfFull() {
    paused = isFull();
    return paused;
  }

  /** Ends a pause; returns whether there was one or bytes are to be parsed. */
  synchronized boolean resume() {
    boolean waiting = paused || size() > 0;
    paused = false;
    return waiting;
  }

  /** Drops all bytes from now on. */
  synchronized void drop() {
    dropping = true;
    lease.end();
    held = NONE;
    probed = NONE;
  }

  /** Reads from a connection without blocking to find out whether its caller has left. */
  synchronized Probe probe(SocketChannel channel) {
    if (paused || isFull()) {
      return Probe.OPEN;
    }
    try {
      int sizeBefore = probed.length;
      ByteBuffer bytes = ByteBuffer.allocate(PROBE_BYTES);
      int count = channel.read(bytes);
      while (count > 0) {
        keepProbed(bytes);
        if (isFull()) {
          break;
        }
        bytes = ByteBuffer.allocate(SMALL_READ_BYTES);
        count = channel.read(bytes);
      }
      if (count < 0) {
        return Probe.ENDED;
      }
      return probed.length > sizeBefore ? Probe.OPEN_WITH_BYTES : Probe.OPEN;
    } catch (IOException reset) {
      return Probe.ENDED;
    }
  }

  private void keepProbed(ByteBuffer bytes) {
    if (dropping) {
      return;
    }
    lease.reserve(budget, bytes.position());
    probed = join(probed, Arrays.copyOf(bytes.array(), bytes.position()));
  }

  private boolean isFull() {
    return size() >= LIMIT_BYTES || (size() > 0 && budget.isExhausted());
  }

  private int size() {
    return held.length + probed.length;
  }

  private static byte[] join(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }
}
