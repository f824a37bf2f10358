package org.corianderweir.http;

import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.corianderweir.model.ErrorCode;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Collects the parts of a response and completes the exchange that is pending on the connection.
 */
final class ExchangeFilter extends BaseFilter {
  private static final Attribute<PendingResponse> PENDING =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.pending");
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final int FIRST_FINAL_STATUS = 200;

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
    HttpContent content = context.getMessage();
    Connection<?> connection = context.getConnection();
    PendingResponse pending = PENDING.get(connection);
    if (pending == null) {
      connection.closeSilently();
      return context.getStopAction();
    }
    HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
    if (head.getStatus() < FIRST_FINAL_STATUS) {
      return context.getStopAction();
    }
    if (!isDelimited(head, pending.exchange())) {
      abandon(connection, pending, "the response has no content length and is not chunked");
      return context.getStopAction();
    }
    Buffer buffer = content.getContent();
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    PendingResponse.Progress progress =
        pending.add(bytes, bodyLength(head, pending.exchange()), content.isLast());
    if (progress == PendingResponse.Progress.FAILED) {
      abandon(connection, pending, pending.failure());
    } else if (progress == PendingResponse.Progress.WAITING) {
      waitForMemory(connection, pending, head);
    } else if (content.isLast()) {
      PENDING.remove(connection);
      finish(context, pending, head);
    }
    return context.getStopAction();
  }

  /**
   * Stops reading from a connection until there is memory for the body. The server has answered, so
   * the answer is neither given up nor read into memory that is not there.
   */
  private void waitForMemory(
      Connection<?> connection, PendingResponse pending, HttpResponsePacket head) {
    stopReading(connection);
    new MemoryWait(pending, () -> resume(connection, pending, head)).start();
  }

  private void resume(Connection<?> connection, PendingResponse pending, HttpResponsePacket head) {
    startReading(connection);
    if (pending.isComplete()) {
      PENDING.remove(connection);
      giveBack(connection, pending, complete(pending, head));
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

  /** Returns the length of the body that follows a head; empty if it is not known. */
  private static OptionalLong bodyLength(HttpResponsePacket head, HttpExchange exchange) {
    boolean bodiless =
        exchange.isHeadRequest()
            || head.getStatus() == STATUS_NO_CONTENT
            || head.getStatus() == STATUS_NOT_MODIFIED;
    if (bodiless) {
      return OptionalLong.of(0);
    }
    return head.isChunked() ? OptionalLong.empty() : OptionalLong.of(head.getContentLength());
  }

  /**
   * Completes the exchange. The connection is returned to the pool only after all bytes that were
   * read together with the response have been processed, because surplus bytes after the response
   * must close the connection before it is reused.
   */
  private void finish(
      FilterChainContext context, PendingResponse pending, HttpResponsePacket head) {
    Optional<HttpResponse> last = complete(pending, head);
    context.addCompletionListener(unused -> giveBack(context.getConnection(), pending, last));
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
  private Optional<HttpResponse> complete(PendingResponse pending, HttpResponsePacket head) {
    Optional<byte[]> body = pending.takeBody();
    if (body.isEmpty()) {
      failLost(pending, "there is no memory for the response body");
      return Optional.empty();
    }
    HttpResponse response = toHttpResponse(head, body.get());
    if (!matchesRequest(response, pending.exchange())) {
      failLost(pending, "the response belongs to another request");
      return Optional.empty();
    }
    pending.endOwnLease();
    boolean reusable =
        pending.exchange().complete(response) && head.getProcessingState().isKeepAlive();
    return reusable ? Optional.of(response) : Optional.empty();
  }

  private boolean matchesRequest(HttpResponse response, HttpExchange exchange) {
    if (options.echoHeader().isPresent()) {
      String name = options.echoHeader().get();
      return exchange.requestHeader(name).equals(response.headers().first(name));
    }
    String name = HttpClient.REQUEST_IDENTIFIER_HEADER;
    Optional<String> named = response.headers().first(name);
    return named.isEmpty() || named.equals(exchange.requestHeader(name));
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

  private static boolean isDelimited(HttpResponsePacket head, HttpExchange exchange) {
    return head.isChunked()
        || head.getContentLength() >= 0
        || head.getStatus() == STATUS_NO_CONTENT
        || head.getStatus() == STATUS_NOT_MODIFIED
        || exchange.isHeadRequest();
  }

  private static HttpResponse toHttpResponse(HttpResponsePacket head, byte[] body) {
    List<HttpHeader> fields = HeaderValues.fields(head.getHeaders());
    if (head.getContentType() != null && head.getHeader("Content-Type") == null) {
      fields.add(new HttpHeader("Content-Type", head.getContentType()));
    }
    return new HttpResponse(head.getStatus(), new HttpHeaders(fields), body);
  }
}
