package org.corianderweir.bench.observer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.model.configuration.BackendServer;

/**
 * Checks that a shift of traffic stays under its cap.
 *
 * <p>The check compares the share of a route's requests that a region gets in any two windows of
 * time. The shares may differ by what the cap allows from the beginning of the earlier window to
 * the end of the later one, plus a tolerance of four standard deviations of the difference between
 * the sampled shares.
 */
public final class ShiftCheck implements Check {
  private static final String PROMISE = "A shift of traffic stays under its cap";
  private static final Duration WINDOW_DURATION = Duration.ofSeconds(2);
  private static final Duration LOOK_BACK_DURATION = Duration.ofSeconds(4);
  private static final double TOLERANCE_STANDARD_DEVIATIONS = 4;
  private static final int MINIMUM_REQUEST_COUNT = 20;

  /** The requests of a route in one window: all, and those of each region. */
  private record Window(long total, Map<String, Long> byRegion) {
    double share(String region) {
      return (double) byRegion.getOrDefault(region, 0L) / total;
    }
  }

  @Override
  public Verdict check(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    List<Incident.ShiftStarted> shifts = evidence.incidents(Incident.ShiftStarted.class).toList();
    for (Incident.ShiftStarted shift : shifts) {
      TreeMap<Long, Window> windows = windows(evidence, shift);
      for (String region : regions(evidence)) {
        violations.addAll(findExcessiveChanges(shift, region, windows));
      }
    }
    return Verdict.of(PROMISE, shifts.size(), violations);
  }

  private static List<String> findExcessiveChanges(
      Incident.ShiftStarted shift, String region, TreeMap<Long, Window> windows) {
    List<String> violations = new ArrayList<>();
    for (Map.Entry<Long, Window> first : windows.entrySet()) {
      for (Map.Entry<Long, Window> second : windows.tailMap(first.getKey(), false).entrySet()) {
        long windowDistance = second.getKey() - first.getKey();
        double seconds = (windowDistance + 1) * (double) WINDOW_DURATION.toSeconds();
        double shareChange =
            Math.abs(second.getValue().share(region) - first.getValue().share(region));
        double allowed =
            shift.capPerSecond() * seconds
                + samplingTolerance(first.getValue(), second.getValue(), region);
        if (shareChange > allowed) {
          violations.add(
              "%s moved %.3f of %s in %.0f s, allowed %.3f"
                  .formatted(region, shareChange, shift.path(), seconds, allowed));
        }
      }
    }
    return violations;
  }

  private static double samplingTolerance(Window first, Window second, String region) {
    long combinedCount =
        first.byRegion().getOrDefault(region, 0L) + second.byRegion().getOrDefault(region, 0L);
    double share = (double) combinedCount / (first.total() + second.total());
    double variance = share * (1 - share) * (1.0 / first.total() + 1.0 / second.total());
    return TOLERANCE_STANDARD_DEVIATIONS * Math.sqrt(variance);
  }

  private static TreeMap<Long, Window> windows(Evidence evidence, Incident.ShiftStarted shift) {
    Map<String, String> regionOfServer = regionOfServer(evidence);
    long beginNanoseconds = shift.acceptedNanoseconds() - LOOK_BACK_DURATION.toNanos();
    TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();
    for (JournalEntry entry : evidence.journal()) {
      if (entry.target().startsWith(shift.path()) && entry.beginNanoseconds() >= beginNanoseconds) {
        long windowIndex =
            (entry.beginNanoseconds() - beginNanoseconds) / WINDOW_DURATION.toNanos();
        counts
            .computeIfAbsent(windowIndex, unused -> new HashMap<>())
            .merge(regionOfServer.getOrDefault(entry.server(), ""), 1L, Long::sum);
      }
    }
    TreeMap<Long, Window> windows = new TreeMap<>();
    counts.forEach(
        (windowIndex, byRegion) -> {
          long total = byRegion.values().stream().mapToLong(Long::longValue).sum();
          if (total >= MINIMUM_REQUEST_COUNT) {
            windows.put(windowIndex, new Window(total, byRegion));
          }
        });
    return windows;
  }

  private static Map<String, String> regionOfServer(Evidence evidence) {
    Map<String, String> regions =
        evidence.deployment().zones().stream()
            .collect(Collectors.toMap(Deployment.Zone::name, Deployment.Zone::region));
    Map<String, String> regionsByServer = new HashMap<>();
    for (BackendServer server : evidence.servers()) {
      regionsByServer.put(server.name(), regions.getOrDefault(server.availabilityZone(), ""));
    }
    return regionsByServer;
  }

  private static List<String> regions(Evidence evidence) {
    return evidence.deployment().zones().stream().map(Deployment.Zone::region).distinct().toList();
  }
}
