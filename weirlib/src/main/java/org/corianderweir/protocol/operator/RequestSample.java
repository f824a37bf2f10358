package org.corianderweir.protocol.operator;

import java.util.Optional;

/**
 * A sample request whose handling an entry instance explains. The access key is not part of it: it
 * is sent in a header field, so that it does not show up where targets are recorded.
 *
 * @param host value of the {@code Host} header field
 * @param path path of the request without the query
 * @param object key of the object that the request concerns
 * @param region region from which the request is taken to arrive; that of the instance if empty
 * @param method method of the request; decides nothing at an instance with {@code --platform}
 * @param bodyBytes length of the body
 * @param deadlineMilliseconds how long the caller waits; the timeout of the route if empty
 */
public record RequestSample(
    String host,
    String path,
    Optional<String> object,
    Optional<String> region,
    String method,
    long bodyBytes,
    Optional<Long> deadlineMilliseconds) {
  /** Path at the metrics port of an entry instance that explains sample requests. */
  public static final String ENDPOINT_PATH = "/explain";

  /** Header field with the access key of the sample request. */
  public static final String KEY_HEADER = "Explained-Access-Key";

  /** Returns whether the length is negative or the deadline not positive. */
  public boolean hasInvalidFigures() {
    return bodyBytes < 0 || deadlineMilliseconds.orElse(1L) <= 0;
  }
}
