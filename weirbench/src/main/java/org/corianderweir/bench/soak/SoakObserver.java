package org.corianderweir.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.bench.soak.SoakEvidence.Call;
import org.corianderweir.bench.soak.SoakEvidence.Disturbance;
import org.corianderweir.bench.soak.SoakEvidence.Ending;
import org.corianderweir.bench.soak.SoakEvidence.Run;

/** Checks the promises by what callers and servers saw. */
final class SoakObserver {
  /** A request that runs later than this after its caller left should not have been sent on. */
  private static final Duration DEPARTURE_GRACE = Duration.ofMillis(500);

  /** Time after another disturbance in which a cut request is excused. */
  private static final Duration DISTURBANCE_GRACE = Duration.ofSeconds(1);

  /** Ratio of the requests that must be served when no fault has begun for some seconds. */
  private static final double CALM_SERVED_RATIO = 0.95;

  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Map<String, List<Run>> runsByRequest = new HashMap<>();
  private final List<Call> calls;
  private final List<Disturbance> disturbances;
  private final NoticeObserver notices;
  private final LimitObserver limit;

  /** A broken promise and what shows it. */
  record Violation(String promise, String evidence) {}

  SoakObserver(SoakEvidence evidence) {
    calls = evidence.calls();
    disturbances = evidence.disturbances();
    notices = new NoticeObserver(evidence);
    limit = new LimitObserver(evidence);
    for (Run run : evidence.runs()) {
      runsByRequest.computeIfAbsent(run.request(), unused -> new ArrayList<>()).add(run);
    }
  }

  /**
   * Returns the broken promises.
   *
   * @param calmNanoseconds monotonic time from which requests must be served again
   */
  List<Violation> violations(long calmNanoseconds) {
    List<Violation> violations = new ArrayList<>();
    List<Violation> lateRuns = new ArrayList<>();
    for (Call call : calls) {
      int runCount = runs(call).size();
      if (!call.idempotent() && runCount > 1) {
        violations.add(new Violation("runs at most once", describe(call)));
      }
      switch (call.ending()) {
        case Ending.Answered answered -> {
          if (isRefusal(answered.status()) && runCount > 0) {
            violations.add(new Violation("a refusal is true", describe(call)));
          }
          if (answered.status() == STATUS_OK && !answered.ownBody()) {
            violations.add(new Violation("the answer is the request's own", describe(call)));
          }
        }
        case Ending.Left unused -> {
          if (runs(call).stream().anyMatch(run -> ranAfterDeparture(run, call))) {
            lateRuns.add(new Violation("no work for callers that have left", describe(call)));
          }
        }
        case Ending.Cut unused -> {
          if (isCutByPlannedStop(call)) {
            violations.add(new Violation("a planned stop cuts no request", describe(call)));
          }
        }
        case Ending.Unread unused -> {
          if (runCount > 0) {
            violations.add(new Violation("an unread request does not run", describe(call)));
          }
        }
        case Ending.Unreachable unused -> {}
      }
    }
    if (lateRuns.size() > allowedLateRuns()) {
      violations.addAll(lateRuns);
    }
    violations.addAll(notices.violations());
    violations.addAll(limit.violations());
    if (servedRatio(calmNanoseconds) < CALM_SERVED_RATIO) {
      violations.add(
          new Violation("requests are served again", "ratio " + servedRatio(calmNanoseconds)));
    }
    return violations;
  }

  /**
   * Returns the ratio of the requests sent from a time on that were answered with success. Requests
   * with a small rate limit and those that the caller gave up are left out.
   */
  double servedRatio(long fromNanoseconds) {
    List<Call> calm =
        calls.stream()
            .filter(call -> call.sentNanoseconds() - fromNanoseconds > 0)
            .filter(call -> !call.limited())
            .filter(call -> !(call.ending() instanceof Ending.Left))
            .toList();
    long served =
        calm.stream()
            .filter(
                call ->
                    call.ending() instanceof Ending.Answered answered
                        && answered.status() == STATUS_OK)
            .count();
    return calm.isEmpty() ? 0 : (double) served / calm.size();
  }

  /**
   * Returns how many requests may run late: a process that is stopped between the look at the
   * caller and the write of the request can't know better, on either of its two traffic threads.
   */
  private int allowedLateRuns() {
    return 2 * (int) disturbances.stream().filter(disturbance -> !disturbance.planned()).count();
  }

  private List<Run> runs(Call call) {
    return runsByRequest.getOrDefault(call.request(), List.of());
  }

  private String describe(Call call) {
    long tookNanoseconds = call.endedNanoseconds() - call.sentNanoseconds();
    return "%s instance=%d ended=%s took=%d ms runs=%d"
        .formatted(
            call.request(),
            call.instance(),
            call.ending(),
            Duration.ofNanos(tookNanoseconds).toMillis(),
            runs(call).size());
  }

  private static boolean isRefusal(int status) {
    return status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
  }

  private static boolean ranAfterDeparture(Run run, Call call) {
    return run.nanoseconds() - call.endedNanoseconds() > DEPARTURE_GRACE.toNanos();
  }

  private boolean isCutByPlannedStop(Call call) {
    boolean duringPlannedStop =
        disturbances.stream()
            .anyMatch(disturbance -> disturbance.planned() && overlaps(disturbance, call, 0));
    boolean excused =
        disturbances.stream()
            .anyMatch(
                disturbance ->
                    !disturbance.planned()
                        && overlaps(disturbance, call, DISTURBANCE_GRACE.toNanos()));
    return duringPlannedStop && !excused;
  }

  /** Returns whether a request was cut although nothing was done to its instance. */
  boolean isCutWithoutDisturbance(Call call) {
    return call.ending() instanceof Ending.Cut
        && disturbances.stream()
            .noneMatch(disturbance -> overlaps(disturbance, call, DISTURBANCE_GRACE.toNanos()));
  }

  private static boolean overlaps(Disturbance disturbance, Call call, long graceNanoseconds) {
    return disturbance.instance() == call.instance()
        && call.endedNanoseconds() - disturbance.fromNanoseconds() >= 0
        && call.sentNanoseconds() - disturbance.toNanoseconds() <= graceNanoseconds;
  }
}
