package org.corianderweir.logic.keys;

/** The result of checking a presented key. */
public sealed interface KeyDecision {
  /**
   * The key is in force.
   *
   * @param organisation name of the organisation that it belongs to
   */
  record Accepted(String organisation) implements KeyDecision {}

  /** The key is unknown, withdrawn or wrong. */
  record Rejected() implements KeyDecision {}
}
