package org.corianderweir.logic.traffic;

import java.util.OptionalLong;

/** How a send to a server ended. */
public sealed interface SendOutcome {
  /** Nothing was written, nor will be. */
  record Unreachable() implements SendOutcome {}

  /**
   * The server says that it did not run the request.
   *
   * @param misdirected whether another server than the expected one has the address
   */
  record NotRun(boolean misdirected, LoadReport report) implements SendOutcome {}

  /** The server answered whole. */
  record Answered(boolean success, boolean serverError, LoadReport report) implements SendOutcome {}

  /** The answer is missing, broken or another request's. */
  record Lost() implements SendOutcome {}

  /** No answer came in time. */
  record TimedOut() implements SendOutcome {}

  /** The caller has left. */
  record Abandoned() implements SendOutcome {}

  /**
   * What a server says of itself beside an answer.
   *
   * @param requests running and waiting requests
   * @param coldMilliseconds how much longer it is cold
   */
  record LoadReport(OptionalLong requests, OptionalLong coldMilliseconds) {}
}
