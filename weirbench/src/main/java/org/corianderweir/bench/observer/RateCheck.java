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
 * No organisation gets more than its rate and burst over any window.
 *
 * <p>A request that ran was admitted at some time between its sending and its arrival at the
 * backend server. A window is broken if more requests have both ends inside it than rate times
 * length plus burst. Every window that matters begins at a sending and ends at an arrival; all of
 * them are looked at. So whatever the check reports did happen.
 */
public final class RateCheck implements Check {
  private static final String PROMISE =
      "No organisation gets more than its rate and burst across all instances together";
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private record Admission(long sentNanoseconds, long arrivedNanoseconds) {}

  @Override
  public Verdict check(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    long cases = 0;
    for (Deployment.OrganisationSpecification organisation :
        evidence.deployment().organisations()) {
      List<Admission> admissions = admissions(evidence, organisation.name());
      cases += admissions.size();
      worstWindow(organisation, admissions).ifPresent(violations::add);
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

  private static Optional<String> worstWindow(
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
