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
  private final HttpRequest request;
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
  private State state = State.UNSENT;
  private Optional<Connection<?>> connection = Optional.empty();
  private Optional<Future<?>> deadlineTask = Optional.empty();

  private enum State {
    UNSENT,
    SENT,
    ENDED
  }

  HttpExchange(HttpAddress address, HttpRequest request) {
    this.address = address;
    this.request = request;
    response.whenComplete((completed, failure) -> close());
  }

  HttpAddress address() {
    return address;
  }

  HttpRequest call() {
    return request;
  }

  CompletableFuture<HttpResponse> reply() {
    return response;
  }

  boolean isHeadRequest() {
    return request.method().equals("HEAD");
  }

  /** Returns the value of a field of the request. */
  Optional<String> requestHeader(String name) {
    return request.headers().first(name);
  }

  synchronized void setDeadlineTask(Future<?> task) {
    deadlineTask = Optional.of(task);
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
  boolean complete(HttpResponse wholeResponse) {
    synchronized (this) {
      if (state == State.ENDED) {
        return false;
      }
      state = State.ENDED;
      connection = Optional.empty();
    }
    return response.complete(wholeResponse);
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
    response.completeExceptionally(new WeirException(code, message + ": " + address, cause));
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
  private synchronized void close() {
    state = State.ENDED;
    deadlineTask.ifPresent(task -> task.cancel(false));
    connection.ifPresent(Connection::closeSilently);
    connection = Optional.empty();
  }
}
