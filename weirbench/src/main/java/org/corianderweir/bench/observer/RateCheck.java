package org.corianderweir.bench.observer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallRecord;

/**
 * Checks that no organisation gets more than its rate and burst in any window of time.
 *
 * <p>A request that ran was admitted at some time between its sending and its arrival at the
 * backend server. A window violates the limit if it contains the sending and the arrival of more
 * requests than its length times the rate, plus the burst. It is enough to examine the windows that
 * begin at a sending and end at an arrival; all of these are examined. All requests counted for a
 * window were admitted within it, so the check reports no false violation.
 */
public final class RateCheck implements Check {
  private static final String PROMISE =
      "No organisation gets more than its rate and burst across all instances together";
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Bounds of the time at which a request was admitted. */
  private record Admission(long sentNanoseconds, long arrivedNanoseconds) {}

  @Override
  public Verdict check(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    long cases = 0;
    for (Deployment.OrganisationSpecification organisation :
        evidence.deployment().organisations()) {
      List<Admission> admissions = admissions(evidence, organisation.name());
      cases += admissions.size();
      findWorstWindow(organisation, admissions).ifPresent(violations::add);
    }
    return Verdict.of(PROMISE, cases, violations);
  }

  private static List<Admission> admissions(Evidence evidence, String organisation) {
    Map<String, Long> sent = new HashMap<>();
    for (CallRecord call : evidence.calls()) {
      sent.merge(call.identifier(), call.startNanoseconds(), Math::min);
    }
    Map<String, Long> arrived = new HashMap<>();
    for (JournalEntry run : evidence.runs()) {
      if (run.organisation().equals(organisation) && sent.containsKey(run.request())) {
        arrived.merge(run.request(), run.beginNanoseconds(), Math::min);
      }
    }
    List<Admission> admissions = new ArrayList<>();
    arrived.forEach(
        (request, arrivedNanoseconds) ->
            admissions.add(
                new Admission(sent.getOrDefault(request, arrivedNanoseconds), arrivedNanoseconds)));
    admissions.sort(Comparator.comparingLong(Admission::arrivedNanoseconds));
    return admissions;
  }

  private static Optional<String> findWorstWindow(
      Deployment.OrganisationSpecification organisation, List<Admission> byArrival) {
    long[] beginNanoseconds =
        byArrival.stream().mapToLong(Admission::sentNanoseconds).sorted().toArray();
    double worstExcess = 0;
    String worst = "";
    for (long begin : Arrays.stream(beginNanoseconds).distinct().toArray()) {
      int count = 0;
      for (Admission admission : byArrival) {
        if (admission.sentNanoseconds() < begin) {
          continue;
        }
        count++;
        double seconds = (admission.arrivedNanoseconds() - begin) / NANOSECONDS_PER_SECOND;
        double allowed = organisation.requestsPerSecond() * seconds + organisation.burst();
        if (count - allowed > worstExcess) {
          worstExcess = count - allowed;
          worst =
              "%s: %d requests in %.3f s, allowed %.1f"
                  .formatted(organisation.name(), count, seconds, allowed);
        }
      }
    }
    return worst.isEmpty() ? Optional.empty() : Optional.of(worst);
  }
}
