package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.OptionalLong;

/** The outcome of sending a request to a server. */
public sealed interface SendOutcome {
  /** No part of the request was written or will be written. */
  record Unreachable() implements SendOutcome {}

  /**
   * The server answered that it did not run the request.
   *
   * @param misdirected whether a server other than the expected one uses the address
   */
  record NotRun(boolean misdirected, ServerReport report) implements SendOutcome {}

  /**
   * The server sent a complete answer.
   *
   * @param success whether the status is from 200 to 299
   * @param serverError whether the status is 500 or higher
   */
  record Answered(boolean success, boolean serverError, ServerReport report)
      implements SendOutcome {}

  /**
   * The answer is missing, malformed or belongs to another request.
   *
   * @param reason why nothing is believed of it, for the log
   */
  record Lost(String reason) implements SendOutcome {}

  /** No answer came in time. */
  record TimedOut() implements SendOutcome {}

  /**
   * The caller closed the connection before the answer.
   *
   * @param written whether a part of the request may have been written
   */
  record Abandoned(boolean written) implements SendOutcome {}

  /** The request was not written, because the server accepts no requests any more. */
  record Withheld() implements SendOutcome {}

  /**
   * What a server says of itself with an answer.
   *
   * @param load load of the server, as far as it is known
   * @param coldMilliseconds how much longer the server is cold, in milliseconds
   * @param leaving whether the server leaves
   * @param pause time for which the server wants no requests from this instance; zero for none
   */
  record ServerReport(
      ServerLoad load, OptionalLong coldMilliseconds, boolean leaving, Duration pause) {
    /** Creates a report of a server that stays and asks for no pause. */
    public ServerReport(ServerLoad load, OptionalLong coldMilliseconds) {
      this(load, coldMilliseconds, false, Duration.ZERO);
    }
  }
}
