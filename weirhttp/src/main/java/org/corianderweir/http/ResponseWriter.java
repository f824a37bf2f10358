package org.corianderweir.http;

import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * Writes a response without copying its body, in parts that follow the caller's reading: only a
 * part at a time waits in the queue of the connection. The memory of the exchange is given back
 * only when the system has taken the last byte, since what waits in the queue keeps the body.
 */
final class ResponseWriter implements WriteHandler, CloseListener<Closeable, ICloseType> {
  /** Bytes that may wait in the queue of a connection before the next part is written. */
  static final int PENDING_LIMIT_BYTES = 8 * 1024;

  private static final int PART_BYTES = 32 * 1024;
  private static final byte[] NO_BODY = new byte[0];

  private final HttpResponsePacket head;
  private final byte[] body;
  private final NIOConnection connection;
  private final MemoryLease lease;
  private final End end;
  private final AtomicBoolean ended = new AtomicBoolean();
  private boolean headWritten;
  private int position;

  /** Called once, when the response has been passed on or can't be. */
  interface End {
    void ended(boolean complete);
  }

  /**
   * Creates a writer of one response.
   *
   * @param lease ended when the response is written or can't be
   */
  ResponseWriter(
      HttpResponsePacket head, byte[] body, Connection<?> connection, MemoryLease lease, End end) {
    this.head = head;
    this.body = head.isExpectContent() ? body : NO_BODY;
    this.connection = (NIOConnection) connection;
    this.lease = lease;
    this.end = end;
  }

  /** Begins to write. */
  void start() {
    connection.addCloseListener(this);
    try {
      onWritePossible();
    } catch (RuntimeException failure) {
      fail();
    }
  }

  @Override
  public void onWritePossible() {
    while (!ended.get()) {
      if (!connection.canWrite()) {
        connection.notifyCanWrite(this);
        return;
      }
      boolean isSmall = body.length <= PENDING_LIMIT_BYTES;
      if (!headWritten || position < body.length) {
        writePart(isSmall ? body.length : Math.min(PART_BYTES, body.length - position));
      }
      // The end of a large body is waited for until the connection takes more.
      if (position == body.length && (isSmall || connection.canWrite())) {
        end(true);
      }
    }
  }

  private void writePart(int count) {
    Buffer part = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body, position, count);
    position += count;
    boolean last = position == body.length;
    Object message = part;
    if (!headWritten) {
      headWritten = true;
      message = head.httpContentBuilder().content(part).last(last).build();
    }
    if (last) {
      connection.write(message, new LastPartHandler());
    } else {
      connection.write(message);
    }
  }

  @Override
  public void onError(@Nullable Throwable failure) {
    fail();
  }

  @Override
  public void onClosed(Closeable closeable, ICloseType type) {
    fail();
  }

  private void fail() {
    release();
    end(false);
  }

  private void release() {
    connection.removeCloseListener(this);
    lease.end();
  }

  private void end(boolean complete) {
    if (ended.compareAndSet(false, true)) {
      end.ended(complete);
    }
  }

  /** Gives the memory back when the last part was written or can't be. */
  private final class LastPartHandler
      extends EmptyCompletionHandler<WriteResult<Object, SocketAddress>> {
    @Override
    public void completed(WriteResult<Object, SocketAddress> written) {
      release();
    }

    @Override
    public void failed(Throwable failure) {
      release();
    }

    @Override
    public void cancelled() {
      release();
    }
  }
}
