package org.corianderweir.bench.backend;

/**
 * A request that reached a backend server.
 *
 * @param server name of the server
 * @param request identifier of the request
 * @param organisation organisation that it ran for; empty on an open route
 * @param method method
 * @param target path and query
 * @param keySeen whether a caller's key reached the server
 * @param outcome what became of it
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

  /** What became of a request. */
  public enum Outcome {
    /** It was refused before it ran. */
    SHED,
    /** It runs. */
    RUNNING,
    /** It ran, and its answer was handed to the connection. */
    ANSWERED,
    /** It ran, and the connection was closed before its answer. */
    ABANDONED
  }

  /** Returns whether the request ran, at least in part. */
  public boolean ran() {
    return outcome != Outcome.SHED;
  }

  /** Returns this entry with its end. */
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
