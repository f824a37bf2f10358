package org.corianderweir.http;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Grizzly's HTTP codec for servers, which additionally refuses requests with ambiguous framing. */
final class StrictServerFilter extends HttpServerFilter {
  private static final String CLOSING = "corianderweir.closing";
  private static final int HEADER_COUNT_LIMIT = 100;

  /**
   * Removed from requests, because no protocol upgrade is supported and Grizzly would wait for an
   * endless body if the field were present.
   */
  private static final String UPGRADE_HEADER = "Upgrade";

  StrictServerFilter(int headerLimitBytes) {
    super(
        true,
        headerLimitBytes,
        "",
        unlimitedKeepAlive(),
        null,
        HEADER_COUNT_LIMIT,
        HEADER_COUNT_LIMIT);
    // GET and DELETE may have a body (RFC 9110, section 9.3.1).
    setAllowPayloadForUndefinedHttpMethods(true);
  }

  /** {@link ConnectionGuard} closes idle connections. */
  private static KeepAlive unlimitedKeepAlive() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setIdleTimeoutInSeconds(-1);
    keepAlive.setMaxRequestsCount(-1);
    return keepAlive;
  }

  /** Sets whether the connection ends with a response. */
  static void setClosing(HttpResponsePacket response, boolean closes) {
    response.getRequest().setAttribute(CLOSING, closes);
  }

  /** Parses requests as long as there is room for them; the other bytes are kept for later. */
  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    CallerPipeline pipeline = CallerPipeline.of(context.getConnection());
    Buffer input = context.getMessage();
    if (pipeline.hasReadingEnded()) {
      input.tryDispose();
      return context.getStopAction();
    }
    if (!pipeline.mayParse() || pipeline.reader().isDeferred()) {
      pipeline.hold(input);
      return context.getStopAction();
    }
    return super.handleRead(context);
  }

  @Override
  protected void onHttpHeaderError(
      HttpHeader message, FilterChainContext context, Throwable failure) {
    CallerPipeline.of(context.getConnection()).reader().onMalformed();
  }

  @Override
  protected void onHttpContentError(
      HttpHeader message, FilterChainContext context, Throwable failure) {
    CallerPipeline.of(context.getConnection()).reader().onMalformed();
  }

  /** Replaces the codec's choice: it would end connections after some statuses, for example 503. */
  @Override
  protected void onInitialLineEncoded(HttpHeader message, FilterChainContext context) {
    super.onInitialLineEncoded(message, context);
    HttpRequestPacket request = ((HttpResponsePacket) message).getRequest();
    message.getHeaders().removeHeader("Date");
    message.getHeaders().removeHeader("Connection");
    if (Boolean.TRUE.equals(request.getAttribute(CLOSING))) {
      message.setHeader("Connection", "close");
    } else if (request.getProtocol() == Protocol.HTTP_1_0) {
      message.setHeader("Connection", "keep-alive");
    }
  }

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader message, Buffer buffer, FilterChainContext context) {
    HttpRequestPacket request = (HttpRequestPacket) message;
    Protocol protocol = request.getProtocol();
    boolean supported = protocol == Protocol.HTTP_1_1 || protocol == Protocol.HTTP_1_0;
    if (!supported || !HttpGrammar.isToken(request.getMethod().getMethodString())) {
      throw new HttpBrokenContentException("not an HTTP/1.1 request");
    }
    boolean failed = super.onHttpHeaderParsed(message, buffer, context);
    UnfinishedRequestFilter.onHead(
        context.getConnection(), message.isChunked(), message.getContentLength());
    return failed;
  }

  @Override
  protected void onHttpHeadersParsed(
      HttpHeader message, MimeHeaders headers, FilterChainContext context) {
    FramingValidator.requireValidHeaders(headers);
    headers.removeHeader(UPGRADE_HEADER);
    message.getUpgradeDC().recycle();
    super.onHttpHeadersParsed(message, headers, context);
  }

  @Override
  protected boolean parseHeaderName(
      HttpHeader message, MimeHeaders headers, HeaderParsingState state, byte[] input, int end) {
    boolean complete = super.parseHeaderName(message, headers, state, input, end);
    FramingValidator.requireUnambiguousLength(complete, headers);
    return complete;
  }

  @Override
  protected boolean parseHeaderName(
      HttpHeader message, MimeHeaders headers, HeaderParsingState state, Buffer input) {
    boolean complete = super.parseHeaderName(message, headers, state, input);
    FramingValidator.requireUnambiguousLength(complete, headers);
    return complete;
  }
}
