package org.corianderweir.protocol.operator;

/**
 * An operation of the operators' interface.
 *
 * <p>The request is JSON in the body, or, if there is no body, the query parameters by name.
 *
 * @param method HTTP method
 * @param path HTTP path
 * @param requestType type of the request
 * @param answerType type of the answer
 * @param <Q> type of the request
 * @param <A> type of the answer
 */
public record Operation<Q extends Record, A>(
    String method, String path, Class<Q> requestType, Class<A> answerType) {
  /** Query parameter with the revision that a change is based on. */
  public static final String EXPECTED_REVISION_PARAMETER = "expected-revision";

  /** Query parameter that names a change, so that it can be repeated without being made twice. */
  public static final String OPERATION_IDENTIFIER_PARAMETER = "operation";

  /** Query parameter; {@code true} asks what a change would do instead of applying it. */
  public static final String DRY_RUN_PARAMETER = "dry-run";

  /** Query parameter; {@code true} keeps the keys in force when everything else is replaced. */
  public static final String KEEP_KEYS_PARAMETER = "keep-keys";

  /** Header field of the operators' credential. */
  public static final String CREDENTIAL_HEADER = "Weir-Operator-Credential";

  /** An operation needs nothing to be told. */
  public record NoRequest() {}

  static <A> Operation<NoRequest, A> get(String path, Class<A> answerType) {
    return new Operation<>("GET", path, NoRequest.class, answerType);
  }

  static <Q extends Record, A> Operation<Q, A> post(
      String path, Class<Q> requestType, Class<A> answerType) {
    return new Operation<>("POST", path, requestType, answerType);
  }
}
