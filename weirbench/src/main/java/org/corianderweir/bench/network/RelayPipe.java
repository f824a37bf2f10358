package org.corianderweir.bench.network;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** One direction of a relayed connection. Used by the event loop's thread only. */
final class RelayPipe {
  private static final int READ_BUFFER_BYTES = 16 * 1024;
  private static final int QUEUE_LIMIT_BYTES = 512 * 1024;
  private static final long RETRY_INTERVAL_MILLISECONDS = 20;
  private static final int END_OF_STREAM = -1;

  private final RelayEventLoop eventLoop;
  private final SocketChannel from;
  private final SocketChannel to;
  private final NetworkConditions conditions;
  private final NetworkConditions.Direction direction;
  private final Runnable abort;
  private final Deque<Chunk> queue = new ArrayDeque<>();
  private long remainingBytes;
  private int queuedBytes;
  private boolean timerPending;
  private boolean retryPending;
  private boolean inputEnded;
  private boolean finished;

  private record Chunk(long readyNanoseconds, ByteBuffer bytes, boolean endOfStream) {}

  /**
   * Creates a pipe.
   *
   * @param remainingBytes number of bytes to forward before the connection is aborted
   * @param abort closes the whole connection
   */
  RelayPipe(
      RelayEventLoop eventLoop,
      SocketChannel from,
      SocketChannel to,
      NetworkConditions conditions,
      NetworkConditions.Direction direction,
      long remainingBytes,
      Runnable abort) {
    this.eventLoop = eventLoop;
    this.from = from;
    this.to = to;
    this.conditions = conditions;
    this.direction = direction;
    this.remainingBytes = remainingBytes;
    this.abort = abort;
  }

  /** Returns whether all bytes and the end of the stream were forwarded. */
  boolean finished() {
    return finished;
  }

  /**
   * Returns whether the pipe can take more bytes: it is neither ended nor full. A blocked link is
   * read too, since a reset is seen only behind the bytes before it; they are held and then
   * dropped.
   */
  boolean wantsRead() {
    return !inputEnded && queuedBytes < QUEUE_LIMIT_BYTES;
  }

  /** Reads the bytes that are available and queues them until their delay is over. */
  void read() throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    int count = from.read(buffer);
    if (count == 0) {
      return;
    }
    buffer.flip();
    inputEnded = count == END_OF_STREAM;
    long readyNanoseconds = System.nanoTime() + linkState().delayNanoseconds();
    if (!queue.isEmpty()) {
      readyNanoseconds = Math.max(readyNanoseconds, queue.getLast().readyNanoseconds());
    }
    queue.addLast(new Chunk(readyNanoseconds, buffer, inputEnded));
    queuedBytes += buffer.remaining();
    conditions.meter().recordBytes(direction, buffer.remaining(), System.nanoTime());
    flush();
  }

  /** Forwards the chunks that are due and schedules another flush for the rest. */
  void flush() {
    try {
      while (!queue.isEmpty() && !linkState().blocked()) {
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
      if (linkState().blocked()) {
        scheduleRetry();
      }
    } catch (IOException failure) {
      abort.run();
    }
  }

  private NetworkConditions.LinkState linkState() {
    return conditions.state(direction);
  }

  private boolean write(Chunk chunk) throws IOException {
    if (chunk.endOfStream()) {
      to.shutdownOutput();
      finished = true;
      return true;
    }
    ByteBuffer bytes = chunk.bytes();
    if (bytes.remaining() > remainingBytes) {
      bytes.limit(bytes.position() + (int) remainingBytes);
      to.write(bytes);
      throw new IOException("response truncated at its byte limit");
    }
    int written = to.write(bytes);
    remainingBytes -= written;
    queuedBytes -= written;
    return !bytes.hasRemaining();
  }

  private void scheduleTimer(long dueNanoseconds) {
    if (!timerPending) {
      timerPending = true;
      eventLoop.scheduleAt(
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
      eventLoop.scheduleAfter(
          RETRY_INTERVAL_MILLISECONDS,
          () -> {
            retryPending = false;
            flush();
          });
    }
  }
}
