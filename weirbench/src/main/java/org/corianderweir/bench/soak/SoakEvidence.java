package org.corianderweir.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What callers and servers saw, and what was done to the instances. Thread-safe. */
final class SoakEvidence {
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
  private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final Queue<Notice> notices = new ConcurrentLinkedQueue<>();
  private final Queue<LinkFault> linkFaults = new ConcurrentLinkedQueue<>();
  private final Queue<NewStart> newStarts = new ConcurrentLinkedQueue<>();
  private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

  /** A server began to run a request at a monotonic time. */
  record Run(String request, String server, long nanoseconds) {}

  /**
   * A request of a caller.
   *
   * @param idempotent whether it may run more than once
   * @param limited whether it belongs to the organisation with a small rate limit
   * @param sentNanoseconds monotonic time at which it was sent
   * @param endedNanoseconds monotonic time at which the caller had its answer or left
   */
  record Call(
      String request,
      boolean idempotent,
      boolean limited,
      int instance,
      long sentNanoseconds,
      long endedNanoseconds,
      Ending ending) {
    /** Creates a request of the organisation whose rate limit is not reached. */
    Call(
        String request,
        boolean idempotent,
        int instance,
        long sentNanoseconds,
        long endedNanoseconds,
        Ending ending) {
      this(request, idempotent, false, instance, sentNanoseconds, endedNanoseconds, ending);
    }
  }

  /** How a request ended for its caller. */
  sealed interface Ending {
    /** The caller got an answer, with the body that a server makes for this request or not. */
    record Answered(int status, boolean ownBody) implements Ending {}

    /** The caller closed its connection before the answer. */
    record Left() implements Ending {}

    /** The connection could not be opened. */
    record Unreachable() implements Ending {}

    /** The connection ended with the answer to an earlier request, which announced it. */
    record Unread() implements Ending {}

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

  /** A request reached a server, which may refuse it. */
  record Arrival(String request, String server, long nanoseconds) {}

  /**
   * A server said something of itself in the answer to a request.
   *
   * @param leaving whether it said that it leaves; else it asked for a pause
   * @param pause the pause; zero if it leaves
   */
  record Notice(String request, String server, boolean leaving, Duration pause, long nanoseconds) {
    static Notice leaving(String request, String server, long nanoseconds) {
      return new Notice(request, server, true, Duration.ZERO, nanoseconds);
    }

    static Notice pause(String request, String server, Duration pause, long nanoseconds) {
      return new Notice(request, server, false, pause, nanoseconds);
    }
  }

  /** Links of all instances to servers were harmed, so that answers may have been lost. */
  record LinkFault(long fromNanoseconds, long toNanoseconds) {}

  /** A server that had left has started anew. */
  record NewStart(String server, long nanoseconds) {}

  void record(Call call) {
    calls.add(call);
  }

  void record(Disturbance disturbance) {
    disturbances.add(disturbance);
  }

  void record(Arrival arrival) {
    arrivals.add(arrival);
  }

  void record(Notice notice) {
    notices.add(notice);
  }

  void record(LinkFault fault) {
    linkFaults.add(fault);
  }

  void record(NewStart start) {
    newStarts.add(start);
  }

  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  List<Notice> notices() {
    return List.copyOf(notices);
  }

  List<LinkFault> linkFaults() {
    return List.copyOf(linkFaults);
  }

  List<NewStart> newStarts() {
    return List.copyOf(newStarts);
  }

  void recordRun(String request, String server, long nanoseconds) {
    runs.add(new Run(request, server, nanoseconds));
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
