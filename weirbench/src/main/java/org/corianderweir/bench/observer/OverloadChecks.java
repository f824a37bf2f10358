package org.corianderweir.bench.observer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.network.TrafficMeter;
import org.corianderweir.model.configuration.BackendServer;

/** Checks that no region and no link between regions is loaded beyond its capacity. */
public final class OverloadChecks {
  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MEGABIT = 1e6;
  private static final int BUCKETS_PER_SECOND = 10;

  private OverloadChecks() {}

  /** The backend servers of one service in one region. */
  private record Pool(String region, String service) {}

  /** A change of the number of running requests by +1 or -1. */
  private record Change(long atNanoseconds, int difference, JournalEntry entry) {}

  private record RegionPair(String from, String to) {}

  /**
   * Checks that no request is sent to a region while all slots of its service there are taken.
   * Requests that reached a server while it was faulty are not counted.
   */
  public static Verdict regionsNotOverloaded(Evidence evidence) {
    Map<String, BackendServer> servers =
        evidence.servers().stream()
            .collect(Collectors.toMap(BackendServer::name, server -> server));
    Map<String, String> regions = regionsOfZones(evidence);
    Map<Pool, Integer> slots = new HashMap<>();
    for (BackendServer server : evidence.servers()) {
      slots.merge(pool(server, regions), server.slots(), Integer::sum);
    }
    Map<Pool, List<JournalEntry>> entries = new HashMap<>();
    for (JournalEntry entry : evidence.journal()) {
      BackendServer server = servers.get(entry.server());
      if (server != null && !isFaulty(entry, evidence)) {
        entries.computeIfAbsent(pool(server, regions), unused -> new ArrayList<>()).add(entry);
      }
    }
    List<String> violations = new ArrayList<>();
    entries.forEach(
        (pool, list) -> violations.addAll(findOverloads(pool, slots.getOrDefault(pool, 0), list)));
    return Verdict.of(
        "No steering decision overloads a region", evidence.journal().size(), violations);
  }

  private static List<String> findOverloads(Pool pool, int slots, List<JournalEntry> entries) {
    List<Change> changes = new ArrayList<>();
    for (JournalEntry entry : entries) {
      changes.add(new Change(entry.beginNanoseconds(), 1, entry));
      if (!entry.ran()) {
        changes.add(new Change(entry.beginNanoseconds(), -1, entry));
      } else if (entry.endNanoseconds() > 0) {
        changes.add(new Change(entry.endNanoseconds(), -1, entry));
      }
    }
    changes.sort(Comparator.comparingLong(Change::atNanoseconds));
    List<String> violations = new ArrayList<>();
    int running = 0;
    for (Change change : changes) {
      running += change.difference();
      if (change.difference() > 0 && running > slots) {
        violations.add(
            "request %s reached region %s with %d requests at %d slots of %s"
                .formatted(
                    change.entry().request(), pool.region(), running, slots, pool.service()));
      }
    }
    return violations;
  }

  private static boolean isFaulty(JournalEntry entry, Evidence evidence) {
    return evidence
        .incidents(Incident.ServerFaulty.class)
        .anyMatch(
            faulty ->
                faulty.server().equals(entry.server())
                    && entry.beginNanoseconds() >= faulty.fromNanoseconds()
                    && entry.beginNanoseconds() <= faulty.toNanoseconds());
  }

  /** Checks that no link carries more than its capacity in any window of one second. */
  public static Verdict linksNotOverloaded(Evidence evidence) {
    Map<String, String> regions = regionsOfZones(evidence);
    Map<RegionPair, Map<Long, Long>> bytes = new HashMap<>();
    for (TrafficMeter.Sample sample : evidence.traffic()) {
      String from = regions.get(sample.direction().from());
      String to = regions.get(sample.direction().to());
      if (from != null && to != null && !from.equals(to)) {
        bytes
            .computeIfAbsent(new RegionPair(from, to), unused -> new HashMap<>())
            .merge(
                sample.beginNanoseconds() / TrafficMeter.BUCKET_NANOSECONDS,
                sample.bytes(),
                Long::sum);
      }
    }
    double limitMegabits = evidence.deployment().linkMegabitsPerSecond();
    List<String> violations = new ArrayList<>();
    bytes.forEach(
        (pair, buckets) -> {
          double highestMegabits = highestMegabits(buckets);
          if (highestMegabits > limitMegabits) {
            violations.add(
                "%s to %s carried %.1f Mbit in a second, allowed %.1f"
                    .formatted(pair.from(), pair.to(), highestMegabits, limitMegabits));
          }
        });
    return Verdict.of(
        "No steering decision overloads a link", evidence.traffic().size(), violations);
  }

  private static double highestMegabits(Map<Long, Long> buckets) {
    double highest = 0;
    for (long first : buckets.keySet()) {
      long sum = 0;
      for (long bucket = first; bucket < first + BUCKETS_PER_SECOND; bucket++) {
        sum += buckets.getOrDefault(bucket, 0L);
      }
      highest = Math.max(highest, sum * BITS_PER_BYTE / BITS_PER_MEGABIT);
    }
    return highest;
  }

  private static Map<String, String> regionsOfZones(Evidence evidence) {
    return evidence.deployment().zones().stream()
        .collect(Collectors.toMap(Deployment.Zone::name, Deployment.Zone::region));
  }

  private static Pool pool(BackendServer server, Map<String, String> regions) {
    return new Pool(regions.getOrDefault(server.availabilityZone(), ""), server.service());
  }
}
