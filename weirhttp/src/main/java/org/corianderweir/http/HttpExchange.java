package org.corianderweir.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jboss.logging.Logger;

/**
 * One request and its response. The state only advances and is guarded by one lock, so that a
 * request is reported as unsent only if it will never be written.
 */
final class HttpExchange {
  private static final Logger LOGGER = Logger.getLogger(HttpExchange.class);

  private final HttpAddress address;
  private final HttpRequest request;
  private final BooleanSupplier stillWanted;
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
  private State state = State.UNSENT;
  private Optional<Connection<?>> connection = Optional.empty();
  private Optional<Future<?>> deadlineTask = Optional.empty();

  private enum State {
    UNSENT,
    SENT,
    ENDED
  }

  /**
   * Creates an exchange that has not begun.
   *
   * @param stillWanted returns whether the request is still to be written
   */
  HttpExchange(HttpAddress address, HttpRequest request, BooleanSupplier stillWanted) {
    this.address = address;
    this.request = request;
    this.stillWanted = stillWanted;
    response.whenComplete((completed, failure) -> close());
  }

  HttpAddress address() {
    return address;
  }

  HttpRequest request() {
    return request;
  }

  /** Returns whether the request is still to be written; an exchange that has ended asks nobody. */
  boolean isStillWanted() {
    synchronized (this) {
      if (state != State.UNSENT) {
        return false;
      }
    }
    return stillWanted.getAsBoolean();
  }

  CompletableFuture<HttpResponse> response() {
    return response;
  }

  boolean isHeadRequest() {
    return request.method().equals("HEAD");
  }

  /** Returns the value of a header field of the request. */
  Optional<String> requestHeader(String name) {
    return request.headers().first(name);
  }

  synchronized void setDeadlineTask(Future<?> task) {
    deadlineTask = Optional.of(task);
  }

  /** Assigns the connection to write to; returns false if the exchange has already ended. */
  synchronized boolean beginSend(Connection<?> opened) {
    if (state != State.UNSENT) {
      return false;
    }
    state = State.SENT;
    connection = Optional.of(opened);
    return true;
  }

  /** Completes with a complete response; returns false if the exchange has already ended. */
  boolean complete(HttpResponse completeResponse) {
    synchronized (this) {
      if (state == State.ENDED) {
        return false;
      }
      state = State.ENDED;
      connection = Optional.empty();
    }
    return response.complete(completeResponse);
  }

  /**
   * Fails the exchange, with {@code CONNECT_FAILED} if the request was not sent.
   *
   * @param codeIfSent code of the failure if the request was sent and may have run
   */
  void fail(ErrorCode codeIfSent, String message, Throwable cause) {
    ErrorCode code;
    synchronized (this) {
      if (state == State.ENDED) {
        return;
      }
      code = state == State.UNSENT ? ErrorCode.CONNECT_FAILED : codeIfSent;
      state = State.ENDED;
    }
    response.completeExceptionally(new WeirException(code, message + ": " + address, cause));
  }

  /** Fails the exchange if the request was not sent yet. */
  void failUnsent(String message, Throwable cause) {
    synchronized (this) {
      if (state != State.UNSENT) {
        return;
      }
    }
    fail(ErrorCode.ANSWER_LOST, message, cause);
  }

  /** Resets the connection of an exchange that failed or was cancelled. */
  private synchronized void close() {
    state = State.ENDED;
    deadlineTask.ifPresent(task -> task.cancel(false));
    connection.ifPresent(HttpExchange::reset);
    connection = Optional.empty();
  }

  /**
   * Ends a connection with a reset. Bytes of the request that are still on their way, for example
   * held up by a partition, are then dropped instead of reaching the server later.
   */
  private static void reset(Connection<?> connection) {
    try {
      SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException closed) {
      LOGGER.debugf(closed, "the connection to %s has already ended", connection.getPeerAddress());
    }
    connection.terminateSilently();
  }
}
