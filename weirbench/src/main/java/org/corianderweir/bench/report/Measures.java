package org.corianderweir.bench.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.observer.Evidence;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.model.configuration.BackendServer;

/** Computes the measures that the users' brief asks for from the evidence of a run. */
final class Measures {
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final Evidence evidence;
  private final long startNanoseconds;
  private final List<RequestHistory> requests;

  /** A change of the number of running requests by +1 or -1. */
  private record Change(long at, int difference) {}

  /**
   * Creates the measures of a run.
   *
   * @param startNanoseconds monotonic time; requests intended for an earlier time are left out
   */
  Measures(Evidence evidence, long startNanoseconds) {
    this.evidence = evidence;
    this.startNanoseconds = startNanoseconds;
    requests =
        RequestHistory.join(evidence.calls()).stream()
            .filter(request -> request.first().intendedNanoseconds() >= startNanoseconds)
            .toList();
  }

  List<RequestHistory> requests() {
    return requests;
  }

  LatencySummary latency() {
    return latencyOf(requests);
  }

  /** Returns the time from the first attempt to the first arrival at a backend server. */
  LatencySummary waiting() {
    Map<String, Long> arrived = new HashMap<>();
    for (JournalEntry run : evidence.runs()) {
      arrived.merge(run.request(), run.beginNanoseconds(), Math::min);
    }
    List<Long> waits = new ArrayList<>();
    for (RequestHistory request : requests) {
      Long arrivedNanoseconds = arrived.get(request.first().identifier());
      if (arrivedNanoseconds != null) {
        waits.add(arrivedNanoseconds - request.first().startNanoseconds());
      }
    }
    return LatencySummary.of(waits);
  }

  Map<String, Long> failures() {
    return failuresOf(requests);
  }

  long shed() {
    return evidence.journal().stream()
        .filter(entry -> entry.beginNanoseconds() >= startNanoseconds)
        .filter(entry -> !entry.ran())
        .count();
  }

  long repeated() {
    return evidence.calls().stream()
        .filter(call -> call.intendedNanoseconds() >= startNanoseconds)
        .filter(call -> call.attempt() > 1)
        .count();
  }

  /** Returns the result of each organisation, after that of the open routes. */
  List<RunReport.OrganisationResult> organisations() {
    Map<String, List<RequestHistory>> byName =
        requests.stream().collect(Collectors.groupingBy(each -> each.first().organisation()));
    List<RunReport.OrganisationResult> results = new ArrayList<>();
    List<RequestHistory> open = byName.getOrDefault("", List.of());
    results.add(result("", open, new WrongfulRefusals.Count(open.size(), open.size(), 0)));
    for (Deployment.OrganisationSpecification organisation :
        evidence.deployment().organisations()) {
      List<RequestHistory> organisationRequests =
          byName.getOrDefault(organisation.name(), List.of());
      results.add(
          result(
              organisation.name(),
              organisationRequests,
              WrongfulRefusals.count(organisation, organisationRequests)));
    }
    return results;
  }

  private static RunReport.OrganisationResult result(
      String name, List<RequestHistory> organisationRequests, WrongfulRefusals.Count count) {
    return new RunReport.OrganisationResult(
        name,
        organisationRequests.size(),
        organisationRequests.stream().filter(RequestHistory::answered).count(),
        count.insideRate(),
        count.wrongful(),
        failuresOf(organisationRequests),
        latencyOf(organisationRequests));
  }

  /** Describes the organisation with the smallest answered share; a tie goes to the highest p99. */
  static String worstServed(List<RunReport.OrganisationResult> results) {
    return results.stream()
        .filter(result -> !result.organisation().isEmpty() && result.requests() > 0)
        .min(
            Comparator.comparingDouble(RunReport.OrganisationResult::answeredShare)
                .thenComparing(result -> -result.latency().p99()))
        .map(
            result ->
                "%s: %.2f%% answered of what was inside its rate, p99 %.0f ms"
                    .formatted(
                        result.organisation(),
                        result.answeredShare() * 100,
                        result.latency().p99()))
        .orElse("");
  }

  /** Returns the free share of the slots at peak load for each region and service. */
  Map<String, Double> headroom() {
    Map<String, String> regions =
        evidence.deployment().zones().stream()
            .collect(Collectors.toMap(Deployment.Zone::name, Deployment.Zone::region));
    Map<String, String> poolOfServer = new HashMap<>();
    Map<String, Integer> slots = new TreeMap<>();
    for (BackendServer server : evidence.servers()) {
      String pool = regions.get(server.availabilityZone()) + "/" + server.service();
      poolOfServer.put(server.name(), pool);
      slots.merge(pool, server.slots(), Integer::sum);
    }
    Map<String, List<JournalEntry>> runs =
        evidence.runs().stream()
            .filter(run -> run.endNanoseconds() >= startNanoseconds)
            .collect(Collectors.groupingBy(run -> String.valueOf(poolOfServer.get(run.server()))));
    Map<String, Double> headroom = new TreeMap<>();
    slots.forEach(
        (pool, count) -> {
          int peak = peakConcurrency(runs.getOrDefault(pool, List.of()));
          headroom.put(pool, 1 - (double) peak / count);
        });
    return headroom;
  }

  private static int peakConcurrency(List<JournalEntry> runs) {
    List<Change> changes = new ArrayList<>();
    for (JournalEntry run : runs) {
      changes.add(new Change(run.beginNanoseconds(), 1));
      if (run.endNanoseconds() > 0) {
        changes.add(new Change(run.endNanoseconds(), -1));
      }
    }
    changes.sort(Comparator.comparingLong(Change::at));
    int running = 0;
    int peak = 0;
    for (Change change : changes) {
      running += change.difference();
      peak = Math.max(peak, running);
    }
    return peak;
  }

  /** Returns for each drained server the milliseconds from the drain to its last request's end. */
  Map<String, Double> drains() {
    Map<String, Double> times = new TreeMap<>();
    evidence
        .incidents(Incident.ServerDrained.class)
        .forEach(
            drain -> {
              long lastEndNanoseconds =
                  evidence.runs().stream()
                      .filter(run -> run.server().equals(drain.server()))
                      .mapToLong(JournalEntry::endNanoseconds)
                      .max()
                      .orElse(drain.acceptedNanoseconds());
              long drainNanoseconds = Math.max(0, lastEndNanoseconds - drain.acceptedNanoseconds());
              times.put(drain.server(), drainNanoseconds / NANOSECONDS_PER_MILLISECOND);
            });
    return times;
  }

  private static LatencySummary latencyOf(List<RequestHistory> histories) {
    return LatencySummary.of(
        histories.stream()
            .filter(RequestHistory::answered)
            .map(RequestHistory::latencyNanoseconds)
            .toList());
  }

  private static Map<String, Long> failuresOf(List<RequestHistory> histories) {
    return histories.stream()
        .filter(history -> !history.answered())
        .collect(
            Collectors.groupingBy(RequestHistory::failure, TreeMap::new, Collectors.counting()));
  }
}
