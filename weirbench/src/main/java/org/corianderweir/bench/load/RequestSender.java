package org.corianderweir.bench.load;

/** Sends the requests of a schedule; each attempt ends up in the journal. */
public interface RequestSender {
  /**
   * Sends a request; never blocks.
   *
   * @param intendedNanoseconds monotonic time at which the schedule has it
   */
  void send(Arrival arrival, long intendedNanoseconds);

  /** Returns requests that have not ended yet. */
  int pending();
}
