package org.corianderweir.protocol.operator;

/**
 * An operation of the operators' interface.
 *
 * <p>The request is sent as JSON in the body. If there is no body, the query parameters are the
 * fields of the request.
 *
 * @param method HTTP method
 * @param path HTTP path
 * @param requestType class of the request
 * @param answerType class of the response
 * @param <Q> type of the request
 * @param <A> type of the response
 */
public record Operation<Q extends Record, A>(
    String method, String path, Class<Q> requestType, Class<A> answerType) {
  /** Query parameter with the configuration revision that a change is based on. */
  public static final String EXPECTED_REVISION_PARAMETER = "expected-revision";

  /**
   * Query parameter with an identifier that makes a change idempotent: a repeated request with the
   * same identifier does not apply the change again.
   */
  public static final String OPERATION_IDENTIFIER_PARAMETER = "operation";

  /** Query parameter; {@code true} reports the effect of a change without applying it. */
  public static final String DRY_RUN_PARAMETER = "dry-run";

  /**
   * Query parameter; {@code true} keeps the keys in force when the rest of the configuration is
   * replaced.
   */
  public static final String KEEP_KEYS_PARAMETER = "keep-keys";

  /** HTTP header field that contains the operators' credential. */
  public static final String CREDENTIAL_HEADER = "Weir-Operator-Credential";

  /** Request of an operation that has no parameters. */
  public record NoRequest() {}

  static <A> Operation<NoRequest, A> get(String path, Class<A> answerType) {
    return new Operation<>("GET", path, NoRequest.class, answerType);
  }

  static <Q extends Record, A> Operation<Q, A> post(
      String path, Class<Q> requestType, Class<A> answerType) {
    return new Operation<>("POST", path, requestType, answerType);
  }
}
