package org.corianderweir.bench.network;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** One direction of a relayed connection. Used by the relay's thread alone. */
final class RelayPipe {
  private static final int READ_BYTES = 16 * 1024;
  private static final int QUEUE_LIMIT_BYTES = 512 * 1024;
  private static final long RETRY_MILLISECONDS = 20;
  private static final int END = -1;

  private final RelayLoop loop;
  private final SocketChannel from;
  private final SocketChannel to;
  private final NetworkRules rules;
  private final NetworkRules.Direction direction;
  private final Runnable abort;
  private final Deque<Chunk> queue = new ArrayDeque<>();
  private long bytesLeft;
  private int queuedBytes;
  private boolean timerPending;
  private boolean retryPending;
  private boolean ended;
  private boolean finished;

  private record Chunk(long readyNanoseconds, ByteBuffer bytes, boolean end) {}

  /**
   * Creates a pipe.
   *
   * @param bytesLeft bytes after which the connection is aborted
   * @param abort closes the whole connection
   */
  RelayPipe(
      RelayLoop loop,
      SocketChannel from,
      SocketChannel to,
      NetworkRules rules,
      NetworkRules.Direction direction,
      long bytesLeft,
      Runnable abort) {
    this.loop = loop;
    this.from = from;
    this.to = to;
    this.rules = rules;
    this.direction = direction;
    this.bytesLeft = bytesLeft;
    this.abort = abort;
  }

  /** Returns whether all bytes and the end were handed on. */
  boolean finished() {
    return finished;
  }

  /** Returns whether the pipe waits for bytes now. */
  boolean wantsRead() {
    return !ended && queuedBytes < QUEUE_LIMIT_BYTES && !state().blocked();
  }

  /** Reads what is there. */
  void read() throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
    int count = from.read(buffer);
    if (count == 0) {
      return;
    }
    buffer.flip();
    ended = count == END;
    long ready = System.nanoTime() + state().delayNanoseconds();
    if (!queue.isEmpty()) {
      ready = Math.max(ready, queue.getLast().readyNanoseconds());
    }
    queue.addLast(new Chunk(ready, buffer, ended));
    queuedBytes += buffer.remaining();
    rules.meter().count(direction, buffer.remaining(), System.nanoTime());
    flush();
  }

  /** Hands on what is due; asks the loop to come back for the rest. */
  void flush() {
    try {
      while (!queue.isEmpty() && !state().blocked()) {
        Chunk chunk = queue.getFirst();
        long now = System.nanoTime();
        if (chunk.readyNanoseconds() > now) {
          scheduleTimer(chunk.readyNanoseconds());
          return;
        }
        if (!write(chunk)) {
          scheduleRetry();
          return;
        }
        queue.removeFirst();
      }
      if (state().blocked()) {
        scheduleRetry();
      }
    } catch (IOException gone) {
      abort.run();
    }
  }

  private NetworkRules.LinkState state() {
    return rules.state(direction);
  }

  private boolean write(Chunk chunk) throws IOException {
    if (chunk.end()) {
      to.shutdownOutput();
      finished = true;
      return true;
    }
    ByteBuffer bytes = chunk.bytes();
    if (bytes.remaining() > bytesLeft) {
      bytes.limit(bytes.position() + (int) bytesLeft);
      to.write(bytes);
      throw new IOException("truncated");
    }
    int written = to.write(bytes);
    bytesLeft -= written;
    queuedBytes -= written;
    return !bytes.hasRemaining();
  }

  private void scheduleTimer(long dueNanoseconds) {
    if (!timerPending) {
      timerPending = true;
      loop.at(
          dueNanoseconds,
          () -> {
            timerPending = false;
            flush();
          });
    }
  }

  private void scheduleRetry() {
    if (!retryPending) {
      retryPending = true;
      loop.after(
          RETRY_MILLISECONDS,
          () -> {
            retryPending = false;
            flush();
          });
    }
  }
}
