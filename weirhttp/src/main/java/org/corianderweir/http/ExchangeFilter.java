package org.corianderweir.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.model.ErrorCode;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Collects the parts of answers and completes the exchange that waits on the connection. */
final class ExchangeFilter extends BaseFilter {
  private static final Attribute<Pending> PENDING =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.pending");
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final int FIRST_FINAL_STATUS = 200;

  private final int answerLimitBytes;

  private record Pending(HttpClient.Exchange exchange, ByteArrayOutputStream body) {}

  ExchangeFilter(int answerLimitBytes) {
    this.answerLimitBytes = answerLimitBytes;
  }

  static void begin(Connection<?> connection, HttpClient.Exchange exchange) {
    PENDING.set(connection, new Pending(exchange, new ByteArrayOutputStream()));
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    Connection<?> connection = context.getConnection();
    Pending pending = PENDING.get(connection);
    if (pending == null) {
      connection.closeSilently();
      return context.getStopAction();
    }
    HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
    if (head.getStatus() < FIRST_FINAL_STATUS) {
      return context.getStopAction();
    }
    if (!isDelimited(head, pending.exchange())) {
      abandon(connection, pending, "the end of the answer can't be known");
      return context.getStopAction();
    }
    Buffer buffer = content.getContent();
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    pending.body().writeBytes(bytes);
    if (pending.body().size() > answerLimitBytes) {
      abandon(connection, pending, "the answer is above the limit");
    } else if (content.isLast()) {
      PENDING.remove(connection);
      boolean reusable = head.getProcessingState().isKeepAlive();
      pending.exchange().complete(reply(head, pending.body().toByteArray()), reusable);
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    Pending pending = PENDING.remove(context.getConnection());
    if (pending != null) {
      failLost(pending, "the connection was closed before the whole answer");
    }
    return context.getInvokeAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable failure) {
    Pending pending = PENDING.remove(context.getConnection());
    if (pending != null) {
      pending.exchange().fail(ErrorCode.ANSWER_LOST, "the answer is malformed", failure);
    }
    context.getConnection().closeSilently();
  }

  private static void abandon(Connection<?> connection, Pending pending, String reason) {
    PENDING.remove(connection);
    failLost(pending, reason);
  }

  private static void failLost(Pending pending, String reason) {
    pending.exchange().fail(ErrorCode.ANSWER_LOST, reason, new EOFException(reason));
  }

  private static boolean isDelimited(HttpResponsePacket head, HttpClient.Exchange exchange) {
    return head.isChunked()
        || head.getContentLength() >= 0
        || head.getStatus() == STATUS_NO_CONTENT
        || head.getStatus() == STATUS_NOT_MODIFIED
        || exchange.hasNoBodyByMethod();
  }

  private static HttpReply reply(HttpResponsePacket head, byte[] body) {
    List<HttpHeader> fields = new ArrayList<>();
    for (String name : head.getHeaders().names()) {
      for (String value : head.getHeaders().values(name)) {
        fields.add(new HttpHeader(name, value));
      }
    }
    if (head.getContentType() != null && head.getHeader("Content-Type") == null) {
      fields.add(new HttpHeader("Content-Type", head.getContentType()));
    }
    return new HttpReply(head.getStatus(), new HttpHeaders(fields), body);
  }
}
