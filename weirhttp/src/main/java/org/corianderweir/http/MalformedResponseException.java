package org.corianderweir.http;

/** Says that bytes of a server are no valid response, and why. */
final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedResponseException(String reason) {
    super(reason, null, false, false);
  }

  /** Returns what is wrong with the response. */
  String reason() {
    return String.valueOf(getMessage());
  }
}
