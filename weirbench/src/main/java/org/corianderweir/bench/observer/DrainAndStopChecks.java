package org.corianderweir.bench.observer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.load.CallRecord;

/** Checks of draining backend servers and of planned stops of entry instances. */
public final class DrainAndStopChecks {
  /** Time after the start of its drain by which a backend server must get no more requests. */
  public static final Duration MAXIMUM_DRAIN_DELAY = Duration.ofSeconds(3);

  /** Time after the request to stop by which the process must have ended. */
  public static final Duration MAXIMUM_STOP_DURATION = Duration.ofSeconds(70);

  private DrainAndStopChecks() {}

  /** Checks that a draining backend server gets no request after {@link #MAXIMUM_DRAIN_DELAY}. */
  public static Verdict drainedServersGetNoRequests(Evidence evidence) {
    List<Incident.ServerDrained> drains = evidence.incidents(Incident.ServerDrained.class).toList();
    List<String> violations = new ArrayList<>();
    for (Incident.ServerDrained drain : drains) {
      long limitNanoseconds = drain.acceptedNanoseconds() + MAXIMUM_DRAIN_DELAY.toNanos();
      evidence.journal().stream()
          .filter(entry -> entry.server().equals(drain.server()))
          .filter(entry -> entry.beginNanoseconds() > limitNanoseconds)
          .map(entry -> describe(entry, drain))
          .forEach(violations::add);
    }
    return Verdict.of(
        "A leaving backend server gets no new work after a few seconds", drains.size(), violations);
  }

  private static String describe(JournalEntry entry, Incident.ServerDrained drain) {
    Duration delay = Duration.ofNanos(entry.beginNanoseconds() - drain.acceptedNanoseconds());
    return "request %s reached %s %d ms after its drain"
        .formatted(entry.request(), entry.server(), delay.toMillis());
  }

  /**
   * Checks that a planned stop fails no request, takes no longer than {@link
   * #MAXIMUM_STOP_DURATION} and ends with exit status zero.
   */
  public static Verdict plannedStopsFailNoRequest(Evidence evidence) {
    List<Incident.InstanceStopped> stops =
        evidence.incidents(Incident.InstanceStopped.class).toList();
    List<String> violations = new ArrayList<>();
    for (Incident.InstanceStopped stop : stops) {
      if (stop.exitStatus() != 0) {
        violations.add(stop.instance() + " ended with exit status " + stop.exitStatus());
      }
      long stopNanoseconds = stop.endedNanoseconds() - stop.requestedNanoseconds();
      if (stopNanoseconds > MAXIMUM_STOP_DURATION.toNanos()) {
        violations.add(
            stop.instance() + " took " + Duration.ofNanos(stopNanoseconds).toSeconds() + " s");
      }
      evidence.calls().stream()
          .filter(call -> failedDuringStop(call, stop))
          .map(
              call ->
                  "request %s at %s: %s %s, %d ms after the stop began"
                      .formatted(
                          call.identifier(),
                          stop.instance(),
                          call.outcome(),
                          call.refusal(),
                          Duration.ofNanos(call.endNanoseconds() - stop.requestedNanoseconds())
                              .toMillis()))
          .forEach(violations::add);
    }
    return Verdict.of(
        "Every planned stop is a graceful shutdown that cuts no request", stops.size(), violations);
  }

  private static boolean failedDuringStop(CallRecord call, Incident.InstanceStopped stop) {
    boolean failed =
        switch (call.outcome()) {
          case LOST, UNREACHABLE -> true;
          case REFUSED -> call.refusal().equals("not-serving");
          case ANSWERED -> false;
        };
    return failed
        && call.entryInstance().equals(stop.instance())
        && call.endNanoseconds() >= stop.requestedNanoseconds();
  }
}
