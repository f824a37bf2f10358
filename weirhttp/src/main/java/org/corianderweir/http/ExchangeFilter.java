package org.corianderweir.http;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.corianderweir.model.ErrorCode;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Collects the parts of a response and completes the exchange that is pending on the connection.
 */
final class ExchangeFilter extends BaseFilter {
  private static final Attribute<PendingResponse> PENDING =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.pending");

  private static final int FIRST_FAILURE_STATUS = 400;

  private final HttpClientOptions options;
  private final Release release;

  /** Returns a connection to the pool of its address. */
  interface Release {
    /**
     * Returns a reusable connection.
     *
     * @param response the latest response on the connection
     */
    void release(HttpAddress address, Connection<?> connection, HttpResponse response);
  }

  /**
   * Creates the filter.
   *
   * @param release returns a reusable connection to the pool of its address
   */
  ExchangeFilter(HttpClientOptions options, Release release) {
    this.options = options;
    this.release = release;
  }

  void begin(Connection<?> connection, HttpExchange exchange) {
    PENDING.set(connection, new PendingResponse(exchange, options));
  }

  /** Returns whether the memory of the body of the present response is reserved. */
  static boolean hasBody(Connection<?> connection) {
    PendingResponse pending = PENDING.get(connection);
    return pending != null && pending.hasBody();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    ByteBuffer bytes = context.getMessage();
    Connection<?> connection = context.getConnection();
    PendingResponse pending = PENDING.get(connection);
    if (pending == null) {
      connection.closeSilently();
    } else {
      read(connection, pending, bytes);
    }
    return context.getStopAction();
  }

  private void read(Connection<?> connection, PendingResponse pending, ByteBuffer bytes) {
    boolean goesOn = true;
    while (goesOn) {
      goesOn =
          switch (pending.reader().read(bytes)) {
            case ResponseReader.Progress.Incomplete unused -> false;
            case ResponseReader.Progress.Malformed malformed -> {
              abandon(connection, pending, malformed.reason());
              yield false;
            }
            case ResponseReader.Progress.BodyPart part ->
                take(connection, pending, part, bytes.hasRemaining());
          };
    }
  }

  /**
   * Takes a part of the body.
   *
   * @param bytesFollow whether more bytes were received; behind the last part, they belong to no
   *     request, so the connection is not used again
   * @return whether the response goes on
   */
  private boolean take(
      Connection<?> connection,
      PendingResponse pending,
      ResponseReader.Progress.BodyPart part,
      boolean bytesFollow) {
    boolean reusable = part.head().keepsConnection() && !bytesFollow;
    return switch (pending.add(part)) {
      case FAILED -> {
        abandon(connection, pending, pending.failure());
        yield false;
      }
      case WAITING -> {
        waitForMemory(connection, pending, part.head(), reusable);
        yield false;
      }
      case ADDED -> {
        if (part.last()) {
          PENDING.remove(connection);
          giveBack(connection, pending, complete(connection, pending, part.head(), reusable));
        }
        yield !part.last();
      }
    };
  }

  /**
   * Stops reading from a connection until there is memory for the body. The server has answered, so
   * the answer is neither given up nor read into memory that is not there.
   */
  private void waitForMemory(
      Connection<?> connection, PendingResponse pending, ResponseHead head, boolean reusable) {
    stopReading(connection);
    new MemoryWait(pending, () -> resume(connection, pending, head, reusable)).start();
  }

  private void resume(
      Connection<?> connection, PendingResponse pending, ResponseHead head, boolean reusable) {
    startReading(connection);
    if (pending.isComplete()) {
      PENDING.remove(connection);
      giveBack(connection, pending, complete(connection, pending, head, reusable));
    }
  }

  private static void stopReading(Connection<?> connection) {
    try {
      connection.disableIOEvent(IOEvent.READ);
    } catch (IOException closed) {
      connection.closeSilently();
    }
  }

  private static void startReading(Connection<?> connection) {
    try {
      connection.enableIOEvent(IOEvent.READ);
    } catch (IOException closed) {
      connection.closeSilently();
    }
  }

  private void giveBack(
      Connection<?> connection, PendingResponse pending, Optional<HttpResponse> last) {
    if (last.isPresent() && connection.isOpen()) {
      release.release(pending.exchange().address(), connection, last.get());
    } else {
      connection.closeSilently();
    }
  }

  /**
   * Completes an exchange if the response is whole and its own, and has come before the exchange
   * ended otherwise; returns the response if its connection may be used again.
   */
  private Optional<HttpResponse> complete(
      Connection<?> connection, PendingResponse pending, ResponseHead head, boolean reusable) {
    Optional<byte[]> body = pending.takeBody();
    if (body.isEmpty()) {
      failLost(pending, "there is no memory for the response body");
      return Optional.empty();
    }
    HttpResponse response = new HttpResponse(head.status(), head.headers(), body.get());
    if (!matchesRequest(response, pending.exchange())) {
      failLost(pending, "the response belongs to another request");
      return Optional.empty();
    }
    pending.endOwnLease();
    boolean distinguishable =
        response.status() < FIRST_FAILURE_STATUS
            || !identifiesRequests(pending.exchange())
            || EarlierFailures.record(
                connection, response.headers().first(options.identifierHeader()));
    boolean completed = pending.exchange().complete(response);
    return completed && reusable && distinguishable ? Optional.of(response) : Optional.empty();
  }

  /** Returns whether responses are matched by an identifier; those of the store are not. */
  private boolean identifiesRequests(HttpExchange exchange) {
    return options.echoHeader().isPresent()
        || exchange.requestHeader(options.identifierHeader()).isPresent();
  }

  private boolean matchesRequest(HttpResponse response, HttpExchange exchange) {
    String name = options.identifierHeader();
    Optional<String> named = response.headers().first(name);
    boolean unnamedAllowed = options.echoHeader().isEmpty() && named.isEmpty();
    return unnamedAllowed || named.equals(exchange.requestHeader(name));
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    PendingResponse pending = PENDING.remove(context.getConnection());
    if (pending == null) {
      return context.getInvokeAction();
    }
    failLost(pending, "the connection was closed before the response was complete");
    return context.getInvokeAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable failure) {
    PendingResponse pending = PENDING.remove(context.getConnection());
    if (pending != null) {
      pending.endOwnLease();
      pending.exchange().fail(ErrorCode.ANSWER_LOST, "the response is malformed", failure);
    }
    context.getConnection().closeSilently();
  }

  private static void abandon(Connection<?> connection, PendingResponse pending, String reason) {
    PENDING.remove(connection);
    failLost(pending, reason);
  }

  private static void failLost(PendingResponse pending, String reason) {
    pending.endOwnLease();
    pending.exchange().fail(ErrorCode.ANSWER_LOST, reason, new EOFException(reason));
  }
}
