package org.corianderweir.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the head of a response (RFC 9112, sections 4 to 6). It refuses what two parsers could
 * understand differently, because a faulty server may break off a head and go on with another one.
 */
final class ResponseHeadReader {
  private static final int FIRST_STATUS = 100;
  private static final int LAST_STATUS = 599;
  private static final int STATUS_SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final String LATEST_VERSION = "HTTP/1.1 ";
  private static final String EARLIER_VERSION = "HTTP/1.0 ";
  private static final int STATUS_POSITION = LATEST_VERSION.length();
  private static final int REASON_POSITION = STATUS_POSITION + "200 ".length();

  /** Each status line begins with it; in a value or a reason it is the start of another head. */
  private static final String STATUS_LINE_START = "HTTP/1.";

  private static final Set<String> FRAMING_FIELDS = Set.of("content-length", "transfer-encoding");

  private final boolean answersHeadRequest;
  private final MessageLines lines = new MessageLines(ResponseReader.HEAD_LIMIT_BYTES);
  private final List<HttpHeader> fields = new ArrayList<>();
  private boolean statusLineRead;
  private int status;
  private boolean latestVersion;

  /**
   * Creates a reader.
   *
   * @param answersHeadRequest whether the response has no body because only its head is asked for
   */
  ResponseHeadReader(boolean answersHeadRequest) {
    this.answersHeadRequest = answersHeadRequest;
  }

  /**
   * Reads on to the end of the head of the final response. Interim responses before it are dropped;
   * they count against the same limit (RFC 9110, section 15.2).
   *
   * @return empty if more bytes are needed
   */
  Optional<ResponseHead> next(ByteBuffer bytes) throws MalformedResponseException {
    for (String line = lines.next(bytes); line != null; line = lines.next(bytes)) {
      if (!statusLineRead) {
        parseStatusLine(line);
        statusLineRead = true;
      } else if (!line.isEmpty()) {
        fields.add(parseField(line));
      } else if (status >= FIRST_FINAL_STATUS) {
        return Optional.of(head());
      } else {
        statusLineRead = false;
        fields.clear();
      }
    }
    return Optional.empty();
  }

  private void parseStatusLine(String line) throws MalformedResponseException {
    latestVersion = line.startsWith(LATEST_VERSION);
    if (!latestVersion && !line.startsWith(EARLIER_VERSION)) {
      throw new MalformedResponseException("it does not begin with a version of HTTP/1");
    }
    if (line.length() < REASON_POSITION || line.charAt(REASON_POSITION - 1) != ' ') {
      throw new MalformedResponseException("the status is not a number of three digits");
    }
    String digits = line.substring(STATUS_POSITION, REASON_POSITION - 1);
    if (!HttpGrammar.isNumber(digits)) {
      throw new MalformedResponseException("the status is not a number of three digits");
    }
    requireFieldValue(line.substring(REASON_POSITION));
    status = Integer.parseInt(digits);
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      throw new MalformedResponseException("the status is not between 100 and 599");
    }
    if (status == STATUS_SWITCHING_PROTOCOLS) {
      throw new MalformedResponseException("the server switches to another protocol");
    }
  }

  /** Returns a header or trailer field. */
  static HttpHeader parseField(String line) throws MalformedResponseException {
    int colon = line.indexOf(':');
    if (colon < 0 || !HttpGrammar.isToken(line.substring(0, colon))) {
      throw new MalformedResponseException("a line of a head is no field");
    }
    String value = HttpGrammar.withoutWhiteSpace(line.substring(colon + 1));
    requireFieldValue(value);
    return new HttpHeader(line.substring(0, colon), value);
  }

  private static void requireFieldValue(String value) throws MalformedResponseException {
    if (!HttpGrammar.isFieldValue(value)) {
      throw new MalformedResponseException("a head has characters that are not allowed");
    }
    if (value.contains(STATUS_LINE_START)) {
      throw new MalformedResponseException("the head holds parts of two responses");
    }
  }

  private ResponseHead head() throws MalformedResponseException {
    HttpHeaders headers = new HttpHeaders(fields);
    return new ResponseHead(
        status, headers.without(FRAMING_FIELDS), framing(headers), keepsConnection(headers));
  }

  private BodyFraming framing(HttpHeaders headers) throws MalformedResponseException {
    List<String> lengths = headers.all("Content-Length");
    List<String> encodings = headers.all("Transfer-Encoding");
    if (lengths.size() + encodings.size() > 1) {
      throw new MalformedResponseException("the end of the body is ambiguous");
    }
    if (!lengths.isEmpty() && !HttpGrammar.isLength(lengths.getFirst())) {
      throw new MalformedResponseException("the content length is not a number");
    }
    boolean chunked = !encodings.isEmpty();
    if (chunked && !(latestVersion && encodings.getFirst().equalsIgnoreCase("chunked"))) {
      throw new MalformedResponseException("the transfer encoding is not chunked");
    }
    long lengthBytes = lengths.isEmpty() ? 0 : Long.parseLong(lengths.getFirst());
    if (status == STATUS_NO_CONTENT && (chunked || lengthBytes > 0)) {
      throw new MalformedResponseException("a response without content announces a body");
    }
    boolean bodiless =
        answersHeadRequest || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
    if (bodiless) {
      return new BodyFraming.Length(0);
    }
    if (!chunked && lengths.isEmpty()) {
      throw new MalformedResponseException("it has no content length and is not chunked");
    }
    return chunked ? new BodyFraming.Chunks() : new BodyFraming.Length(lengthBytes);
  }

  private boolean keepsConnection(HttpHeaders headers) {
    boolean closes = false;
    boolean keeps = latestVersion;
    for (String value : headers.all("Connection")) {
      for (String option : value.split(",")) {
        String name = HttpGrammar.withoutWhiteSpace(option).toLowerCase(Locale.ROOT);
        closes |= name.equals("close");
        keeps |= name.equals("keep-alive");
      }
    }
    return keeps && !closes;
  }
}
