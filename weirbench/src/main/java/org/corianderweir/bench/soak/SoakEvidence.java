package org.corianderweir.bench.soak;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What callers and servers saw, and what was done to the instances. Thread-safe. */
final class SoakEvidence {
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
  private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

  /** A server began to run a request at a monotonic time. */
  record Run(String request, String server, long nanoseconds) {}

  /**
   * A request of a caller.
   *
   * @param idempotent whether it may run more than once
   * @param sentNanoseconds monotonic time at which it was sent
   * @param endedNanoseconds monotonic time at which the caller had its answer or left
   */
  record Call(
      String request,
      boolean idempotent,
      int instance,
      long sentNanoseconds,
      long endedNanoseconds,
      Ending ending) {}

  /** How a request ended for its caller. */
  sealed interface Ending {
    /** The caller got an answer, with the body that a server makes for this request or not. */
    record Answered(int status, boolean ownBody) implements Ending {}

    /** The caller closed its connection before the answer. */
    record Left() implements Ending {}

    /** The connection could not be opened. */
    record Unreachable() implements Ending {}

    /** The connection ended before the answer was complete. */
    record Cut() implements Ending {}
  }

  /**
   * Something that was done to an entry instance.
   *
   * @param planned whether it was a planned stop
   * @param fromNanoseconds monotonic time of its begin
   * @param toNanoseconds monotonic time of its end
   */
  record Disturbance(int instance, boolean planned, long fromNanoseconds, long toNanoseconds) {}

  void recordRun(String request, String server, long nanoseconds) {
    runs.add(new Run(request, server, nanoseconds));
  }

  void record(Call call) {
    calls.add(call);
  }

  void record(Disturbance disturbance) {
    disturbances.add(disturbance);
  }

  List<Run> runs() {
    return List.copyOf(runs);
  }

  List<Call> calls() {
    return List.copyOf(calls);
  }

  List<Disturbance> disturbances() {
    return List.copyOf(disturbances);
  }
}
