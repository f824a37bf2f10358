package org.corianderweir.logic.delivery;

/**
 * Whether a request with an identifier may run.
 *
 * @param <T> what is kept of a request's outcome
 */
public sealed interface Claim<T> {
  /**
   * It is the first with this identifier and may run.
   *
   * @param outcome where its outcome is to be put
   */
  record Granted<T>(T outcome) implements Claim<T> {}

  /**
   * A request with this identifier runs or ran.
   *
   * @param outcome the outcome of that one
   */
  record Duplicate<T>(T outcome) implements Claim<T> {}

  /** The identifier has expired; what became of its request may be forgotten. */
  record Expired<T>() implements Claim<T> {}

  /** The identifier belongs to a request with other content. */
  record ContentMismatch<T>() implements Claim<T> {}

  /** No more outcomes can be kept; the request may not run. */
  record CapacityExceeded<T>() implements Claim<T> {}
}
