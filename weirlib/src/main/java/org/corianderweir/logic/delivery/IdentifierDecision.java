package org.corianderweir.logic.delivery;

/** Who may let a request with an identifier run. */
public sealed interface IdentifierDecision {
  /** This process issued it and it has not expired. */
  record Own() implements IdentifierDecision {}

  /** This process issued it and may have forgotten what became of it. */
  record Expired() implements IdentifierDecision {}

  /** It names this process, but this process did not issue it. */
  record Forged() implements IdentifierDecision {}

  /** It names another process. */
  record Foreign() implements IdentifierDecision {}
}
