package org.corianderweir.logic.delivery;

/**
 * Whether a request with a given identifier may run.
 *
 * @param <T> type of the holder of a request's outcome
 */
public sealed interface Claim<T> {
  /**
   * The request is the first with this identifier and may run.
   *
   * @param outcome holder in which its outcome is stored
   */
  record Granted<T>(T outcome) implements Claim<T> {}

  /**
   * A request with this identifier is running or has run.
   *
   * @param outcome holder of the outcome of that request
   */
  record Duplicate<T>(T outcome) implements Claim<T> {}

  /** The identifier has expired; the outcome of its request may have been removed. */
  record Expired<T>() implements Claim<T> {}

  /** The identifier belongs to a request with other content. */
  record ContentMismatch<T>() implements Claim<T> {}

  /** The registry cannot keep another outcome; the request must not run. */
  record CapacityExceeded<T>() implements Claim<T> {}
}
