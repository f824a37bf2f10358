package org.corianderweir.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.glassfish.grizzly.Connection;

/**
 * One request and its answer. Its state only moves forward, under one lock, so that a request is
 * called unsent only if it never will be written.
 */
final class HttpExchange {
  private final HttpAddress address;
  private final HttpCall call;
  private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
  private State state = State.UNSENT;
  private Optional<Connection<?>> connection = Optional.empty();
  private Optional<Future<?>> deadline = Optional.empty();

  private enum State {
    UNSENT,
    SENT,
    ENDED
  }

  HttpExchange(HttpAddress address, HttpCall call) {
    this.address = address;
    this.call = call;
    reply.whenComplete((answer, failure) -> end());
  }

  HttpAddress address() {
    return address;
  }

  HttpCall call() {
    return call;
  }

  CompletableFuture<HttpReply> reply() {
    return reply;
  }

  boolean hasNoBodyByMethod() {
    return call.method().equals("HEAD");
  }

  /** Returns the value of a field of the request. */
  Optional<String> requestField(String name) {
    return call.headers().first(name);
  }

  synchronized void deadline(Future<?> task) {
    deadline = Optional.of(task);
  }

  /** Takes a connection to write on; returns false if the exchange has ended before. */
  synchronized boolean beginSend(Connection<?> opened) {
    if (state != State.UNSENT) {
      return false;
    }
    state = State.SENT;
    connection = Optional.of(opened);
    return true;
  }

  /** Completes with a whole answer; returns false if the exchange has ended before. */
  boolean complete(HttpReply answer) {
    synchronized (this) {
      if (state == State.ENDED) {
        return false;
      }
      state = State.ENDED;
      connection = Optional.empty();
    }
    return reply.complete(answer);
  }

  /** Fails; a request that was not written is called unreachable, any other one lost. */
  void fail(ErrorCode codeIfSent, String message, Throwable cause) {
    ErrorCode code;
    synchronized (this) {
      if (state == State.ENDED) {
        return;
      }
      code = state == State.UNSENT ? ErrorCode.CONNECT_FAILED : codeIfSent;
      state = State.ENDED;
    }
    reply.completeExceptionally(new WeirException(code, message + ": " + address, cause));
  }

  /** Fails if nothing was written so far. */
  void failUnsent(String message, Throwable cause) {
    synchronized (this) {
      if (state != State.UNSENT) {
        return;
      }
    }
    fail(ErrorCode.ANSWER_LOST, message, cause);
  }

  /** Closes the connection of an exchange that failed or was cancelled. */
  private synchronized void end() {
    state = State.ENDED;
    deadline.ifPresent(task -> task.cancel(false));
    connection.ifPresent(Connection::closeSilently);
    connection = Optional.empty();
  }
}
