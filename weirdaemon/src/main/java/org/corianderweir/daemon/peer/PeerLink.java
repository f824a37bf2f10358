package org.corianderweir.daemon.peer;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.jspecify.annotations.Nullable;

/**
 * The outgoing link to one other entry instance: at most one connection or connection attempt at a
 * time, and a bounded number of frames and bytes that wait to be sent. Thread-safe; never blocks on
 * the network.
 */
final class PeerLink {
  private static final long RETRY_DELAY_NANOSECONDS = 500_000_000L;
  private static final int PENDING_LIMIT_BYTES = 4 * 1024 * 1024;
  private static final int PENDING_LIMIT_FRAMES = 1024;

  private final Queue<byte[]> pendingQueue = new ArrayDeque<>();
  private @Nullable Connection<?> connection;
  private boolean connecting;
  private boolean authenticated;
  private long lastAttemptNanoseconds;
  private boolean attempted;
  private long lastUsedNanoseconds;
  private int pendingBytes;
  private int pendingFrames;

  /** The result of {@link #send}. */
  enum Outcome {
    /** The frame is being sent or waits for the connection. */
    ACCEPTED,
    /** The frame waits, and the caller must open a connection. */
    ACCEPTED_AND_CONNECT,
    /** The frame was dropped: the link is full, or the last connection attempt is too recent. */
    DROPPED
  }

  synchronized Outcome send(byte[] frame, long nowNanoseconds) {
    lastUsedNanoseconds = nowNanoseconds;
    boolean full =
        pendingFrames >= PENDING_LIMIT_FRAMES || pendingBytes + frame.length > PENDING_LIMIT_BYTES;
    if (full) {
      return Outcome.DROPPED;
    }
    Connection<?> current = connection;
    if (current != null && !current.isOpen()) {
      reset();
      current = null;
    }
    if (current != null && authenticated) {
      reserve(frame);
      write(current, frame);
      return Outcome.ACCEPTED;
    }
    if (connecting) {
      reserve(frame);
      pendingQueue.add(frame);
      return Outcome.ACCEPTED;
    }
    if (attempted && nowNanoseconds - lastAttemptNanoseconds < RETRY_DELAY_NANOSECONDS) {
      return Outcome.DROPPED;
    }
    reserve(frame);
    pendingQueue.add(frame);
    connecting = true;
    attempted = true;
    lastAttemptNanoseconds = nowNanoseconds;
    return Outcome.ACCEPTED_AND_CONNECT;
  }

  synchronized void connected(Connection<?> opened) {
    connection = opened;
  }

  /** Sends the frames that waited for the handshake. */
  synchronized void authenticated(Connection<?> authenticatedConnection) {
    connection = authenticatedConnection;
    connecting = false;
    authenticated = true;
    byte[] frame = pendingQueue.poll();
    while (frame != null) {
      write(authenticatedConnection, frame);
      frame = pendingQueue.poll();
    }
  }

  /** Gives up the connection or the connection attempt and drops the waiting frames. */
  synchronized void failed() {
    reset();
  }

  synchronized boolean isIdleLongerThan(long limitNanoseconds, long nowNanoseconds) {
    return nowNanoseconds - lastUsedNanoseconds > limitNanoseconds;
  }

  synchronized Optional<Connection<?>> connection() {
    return Optional.ofNullable(connection);
  }

  private void reset() {
    connection = null;
    connecting = false;
    authenticated = false;
    byte[] frame = pendingQueue.poll();
    while (frame != null) {
      release(frame.length);
      frame = pendingQueue.poll();
    }
  }

  private void reserve(byte[] frame) {
    pendingBytes += frame.length;
    pendingFrames++;
  }

  private synchronized void release(int bytes) {
    pendingBytes -= bytes;
    pendingFrames--;
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  private void write(Connection<?> target, byte[] frame) {
    ((Connection) target).write(frame, (CompletionHandler) new ReleaseOnCompletion(frame.length));
  }

  /** Releases the reserved bytes of a frame once it was sent or can no longer be sent. */
  private final class ReleaseOnCompletion extends EmptyCompletionHandler<Object> {
    private final int bytes;

    ReleaseOnCompletion(int bytes) {
      this.bytes = bytes;
    }

    @Override
    public void completed(Object result) {
      release(bytes);
    }

    @Override
    public void failed(Throwable failure) {
      release(bytes);
    }

    @Override
    public void cancelled() {
      release(bytes);
    }
  }
}
