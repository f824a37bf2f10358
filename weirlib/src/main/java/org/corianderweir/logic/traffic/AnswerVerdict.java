package org.corianderweir.logic.traffic;

/** What the bytes that a server sent as an answer prove about a request. */
public sealed interface AnswerVerdict {
  /** The server ran the request and this is its answer. */
  record Answered() implements AnswerVerdict {}

  /**
   * The server did not run the request and never will.
   *
   * @param misdirected whether a server other than the expected one uses the address
   */
  record NotRun(boolean misdirected) implements AnswerVerdict {}

  /** The answer contradicts itself or lacks a proof; the request may have run. */
  record Lost(String reason) implements AnswerVerdict {}

  /** The answer belongs to another request; this one may have run. */
  record Foreign() implements AnswerVerdict {}
}
