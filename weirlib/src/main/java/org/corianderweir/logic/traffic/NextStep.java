package org.corianderweir.logic.traffic;

import java.time.Duration;

/** What to do with a request next. */
public sealed interface NextStep {
  /**
   * Send it to a server.
   *
   * @param server the server, which counts the request from now on
   * @param timeout longest time for the answer
   */
  record Send(ServerState server, Duration timeout) implements NextStep {}

  /** Tell the caller that it has not run. */
  record Reject(RejectionReason reason, Duration retryAfter) implements NextStep {}

  /** Tell the caller that it may have run. */
  record Fail(boolean deadlinePassed) implements NextStep {}

  /** Hand the server's answer on. */
  record Deliver() implements NextStep {}
}
