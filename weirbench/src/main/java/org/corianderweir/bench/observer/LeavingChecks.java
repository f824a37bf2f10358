package org.corianderweir.bench.observer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.load.CallRecord;

/** Checks of backend servers and entry instances that leave. */
public final class LeavingChecks {
  /** Time after which a leaving backend server must get no new work. */
  public static final Duration DRAIN_LIMIT = Duration.ofSeconds(3);

  /** Time within which a planned stop must have ended. */
  public static final Duration STOP_LIMIT = Duration.ofSeconds(70);

  private LeavingChecks() {}

  /** A leaving backend server gets no new work after a few seconds. */
  public static Verdict drainedServersRest(Evidence evidence) {
    List<Incident.ServerDrained> drains = evidence.incidents(Incident.ServerDrained.class).toList();
    List<String> violations = new ArrayList<>();
    for (Incident.ServerDrained drain : drains) {
      long limit = drain.acceptedNanoseconds() + DRAIN_LIMIT.toNanos();
      evidence.journal().stream()
          .filter(entry -> entry.server().equals(drain.server()))
          .filter(entry -> entry.beginNanoseconds() > limit)
          .map(entry -> describe(entry, drain))
          .forEach(violations::add);
    }
    return Verdict.of(
        "A leaving backend server gets no new work after a few seconds", drains.size(), violations);
  }

  private static String describe(JournalEntry entry, Incident.ServerDrained drain) {
    Duration late = Duration.ofNanos(entry.beginNanoseconds() - drain.acceptedNanoseconds());
    return "request %s reached %s %d ms after its drain"
        .formatted(entry.request(), entry.server(), late.toMillis());
  }

  /** A planned stop cuts no request and ends with exit status zero. */
  public static Verdict plannedStopsCutNothing(Evidence evidence) {
    List<Incident.InstanceStopped> stops =
        evidence.incidents(Incident.InstanceStopped.class).toList();
    List<String> violations = new ArrayList<>();
    for (Incident.InstanceStopped stop : stops) {
      if (stop.exitStatus() != 0) {
        violations.add(stop.instance() + " ended with exit status " + stop.exitStatus());
      }
      long took = stop.endedNanoseconds() - stop.requestedNanoseconds();
      if (took > STOP_LIMIT.toNanos()) {
        violations.add(stop.instance() + " took " + Duration.ofNanos(took).toSeconds() + " s");
      }
      evidence.calls().stream()
          .filter(call -> isCut(call, stop))
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

  private static boolean isCut(CallRecord call, Incident.InstanceStopped stop) {
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
