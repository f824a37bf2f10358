package org.corianderweir.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.bench.soak.SoakEvidence.Arrival;
import org.corianderweir.bench.soak.SoakEvidence.Call;
import org.corianderweir.bench.soak.SoakObserver.Violation;

/** Checks by what servers saw that the organisation with a small rate limit keeps to it. */
final class LimitObserver {
  /** Rate limit and burst of the organisation; its callers ask for about twice as much. */
  static final int REQUESTS_PER_SECOND = 8;

  private static final Duration WINDOW = Duration.ofSeconds(5);

  /** The overage and the margin of the instances' settings. */
  private static final double OVERAGE = 0.1;

  private static final double MARGIN = 20;

  private final SoakEvidence evidence;

  LimitObserver(SoakEvidence evidence) {
    this.evidence = evidence;
  }

  /** Returns the largest number of requests that may reach servers in a window. */
  static int allowedInWindow() {
    double limit = REQUESTS_PER_SECOND * WINDOW.toSeconds() + REQUESTS_PER_SECOND;
    return (int) (limit * (1 + OVERAGE) + MARGIN);
  }

  /** Returns the worst window that is above the limit, if there is one. */
  List<Violation> violations() {
    List<Admission> admissions = admissions();
    long worstCount = 0;
    for (Admission first : admissions) {
      long begin = first.sentNanoseconds();
      long count =
          admissions.stream()
              .filter(admission -> admission.sentNanoseconds() - begin >= 0)
              .filter(admission -> admission.arrivedNanoseconds() - begin <= WINDOW.toNanos())
              .count();
      worstCount = Math.max(worstCount, count);
    }
    return worstCount <= allowedInWindow()
        ? List.of()
        : List.of(
            new Violation(
                "a rate limit holds",
                "%d requests in %d s, allowed %d"
                    .formatted(worstCount, WINDOW.toSeconds(), allowedInWindow())));
  }

  private List<Admission> admissions() {
    Map<String, Long> arrived = new HashMap<>();
    for (Arrival arrival : evidence.arrivals()) {
      arrived.merge(arrival.request(), arrival.nanoseconds(), Math::min);
    }
    List<Admission> admissions = new ArrayList<>();
    for (Call call : evidence.calls()) {
      Long arrivedNanoseconds = arrived.get(call.request());
      if (call.limited() && arrivedNanoseconds != null) {
        admissions.add(new Admission(call.sentNanoseconds(), arrivedNanoseconds));
      }
    }
    return admissions;
  }

  /**
   * Bounds of the time at which a request was admitted. A link that was cut delivers requests later
   * and together, so the arrivals alone don't show how many were admitted in a window.
   */
  private record Admission(long sentNanoseconds, long arrivedNanoseconds) {}
}
