package org.corianderweir.logic.delivery;

/** Which process may let a request with a given identifier run. */
public sealed interface IdentifierDecision {
  /** This process issued the identifier and it has not expired. */
  record Own() implements IdentifierDecision {}

  /**
   * This process issued the identifier, but it has expired, so the outcome of its request may have
   * been removed.
   */
  record Expired() implements IdentifierDecision {}

  /** The identifier names this process as its issuer, but this process did not issue it. */
  record Forged() implements IdentifierDecision {}

  /** The identifier names another process as its issuer. */
  record Foreign() implements IdentifierDecision {}
}
