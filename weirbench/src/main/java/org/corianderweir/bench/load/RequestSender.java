package org.corianderweir.bench.load;

/** Sends the requests of a schedule and records each attempt in the journal. */
public interface RequestSender {
  /**
   * Sends a request without blocking.
   *
   * @param intendedNanoseconds monotonic time for which the request is scheduled
   */
  void send(Arrival arrival, long intendedNanoseconds);

  /** Returns the number of requests that have not ended yet. */
  int pending();
}
