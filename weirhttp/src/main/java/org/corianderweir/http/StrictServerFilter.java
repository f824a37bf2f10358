package org.corianderweir.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.utils.DelayedExecutor;

/** Grizzly's HTTP codec for servers, which additionally refuses requests with ambiguous framing. */
final class StrictServerFilter extends HttpServerFilter {
  private static final int HEADER_COUNT_LIMIT = 100;

  /**
   * Removed from requests, because no protocol upgrade is supported and Grizzly would wait for an
   * endless body if the field were present.
   */
  private static final String UPGRADE_HEADER = "Upgrade";

  StrictServerFilter(int headerLimitBytes, KeepAlive keepAlive, DelayedExecutor executor) {
    super(true, headerLimitBytes, "", keepAlive, executor, HEADER_COUNT_LIMIT, HEADER_COUNT_LIMIT);
    // GET and DELETE may have a body (RFC 9110, section 9.3.1).
    setAllowPayloadForUndefinedHttpMethods(true);
  }

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader message, Buffer buffer, FilterChainContext context) {
    HttpRequestPacket request = (HttpRequestPacket) message;
    Protocol protocol = request.getProtocol();
    boolean supported = protocol == Protocol.HTTP_1_1 || protocol == Protocol.HTTP_1_0;
    if (!supported || !FramingValidator.isMethod(request.getMethod().getMethodString())) {
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
