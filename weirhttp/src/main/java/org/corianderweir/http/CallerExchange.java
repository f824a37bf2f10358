package org.corianderweir.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The exchange of one request and its response on a caller's connection. Bytes that arrive before
 * the response are dropped, and the connection is then closed after the response.
 */
final class CallerExchange implements CallerConnection {
  private static final int PROBE_BYTES = 1;

  private final Connection<?> connection;
  private final Duration queueTime;
  private State state = State.PROCESSING;
  private boolean surplusBytes;

  private enum State {
    PROCESSING,
    DISCONNECTED,
    WRITING
  }

  CallerExchange(Connection<?> connection, Duration queueTime) {
    this.connection = connection;
    this.queueTime = queueTime;
  }

  @Override
  public Duration queueTime() {
    return queueTime;
  }

  @Override
  public boolean isOpen() {
    if (probe()) {
      return true;
    }
    connection.closeSilently();
    return false;
  }

  /** Reads from the connection without blocking; returns false if the caller has left. */
  private synchronized boolean probe() {
    if (state == State.WRITING) {
      return connection.isOpen();
    }
    if (state == State.DISCONNECTED || !connection.isOpen()) {
      return false;
    }
    SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
    try {
      int count = channel.read(ByteBuffer.allocate(PROBE_BYTES));
      surplusBytes |= count > 0;
      state = count < 0 ? State.DISCONNECTED : state;
    } catch (IOException reset) {
      state = State.DISCONNECTED;
    }
    return state == State.PROCESSING;
  }

  /**
   * Records that bytes arrived and were dropped.
   *
   * @return whether the response was still awaited
   */
  synchronized boolean onSurplusBytes() {
    surplusBytes = true;
    return state != State.WRITING;
  }

  /** Ends the handling of the request; returns whether the connection may be kept. */
  synchronized boolean beginWrite() {
    state = State.WRITING;
    return !surplusBytes;
  }
}
