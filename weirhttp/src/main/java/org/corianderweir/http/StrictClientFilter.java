package org.corianderweir.http;

import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Grizzly's codec for clients; it refuses answers whose end is ambiguous. */
final class StrictClientFilter extends HttpClientFilter {
  @Override
  protected void onHttpHeadersParsed(
      HttpHeader message, MimeHeaders headers, FilterChainContext context) {
    Optional<String> fault = FramingCheck.fault(headers);
    if (fault.isPresent()) {
      throw new HttpBrokenContentException(fault.get());
    }
    super.onHttpHeadersParsed(message, headers, context);
  }

  @Override
  protected boolean parseHeaderName(
      HttpHeader message, MimeHeaders headers, HeaderParsingState state, byte[] input, int end) {
    boolean complete = super.parseHeaderName(message, headers, state, input, end);
    checkName(complete, headers);
    return complete;
  }

  @Override
  protected boolean parseHeaderName(
      HttpHeader message, MimeHeaders headers, HeaderParsingState state, Buffer input) {
    boolean complete = super.parseHeaderName(message, headers, state, input);
    checkName(complete, headers);
    return complete;
  }

  private static void checkName(boolean complete, MimeHeaders headers) {
    if (complete && FramingCheck.isAmbiguous(headers)) {
      throw new HttpBrokenContentException("the end of the message is ambiguous");
    }
  }
}
