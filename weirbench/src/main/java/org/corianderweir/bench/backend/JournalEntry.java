package org.corianderweir.bench.backend;

/**
 * The journal entry of a request that reached a backend server.
 *
 * @param server name of the server
 * @param request identifier of the request
 * @param organisation organisation of the caller; empty on an open route
 * @param method HTTP method
 * @param target path and query
 * @param keySeen whether the request still carried the caller's key
 * @param outcome state of the request
 * @param beginNanoseconds monotonic time at which it arrived
 * @param endNanoseconds monotonic time at which it ended; zero while it runs
 */
public record JournalEntry(
    String server,
    String request,
    String organisation,
    String method,
    String target,
    boolean keySeen,
    Outcome outcome,
    long beginNanoseconds,
    long endNanoseconds) {

  /** The state of a request. */
  public enum Outcome {
    /** The request was refused before it ran. */
    SHED,
    /** The request is running. */
    RUNNING,
    /** The request ran, and its response was handed to the connection. */
    ANSWERED,
    /** The request ran, and the connection was closed before its response. */
    ABANDONED
  }

  /** Returns whether the request ran, at least in part. */
  public boolean ran() {
    return outcome != Outcome.SHED;
  }

  /** Returns this entry with its final outcome and the time of its end. */
  public JournalEntry ended(Outcome ending, long nanoseconds) {
    return new JournalEntry(
        server,
        request,
        organisation,
        method,
        target,
        keySeen,
        ending,
        beginNanoseconds,
        nanoseconds);
  }
}
