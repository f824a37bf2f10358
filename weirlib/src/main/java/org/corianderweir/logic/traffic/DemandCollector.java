package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.traffic.FleetMember;

/**
 * Adds up what organisations ask of the instances of a region and of the other regions, and counts
 * the instances that are in it. One that fell silent is left out soon, since its demand may have
 * changed. Not thread-safe.
 */
public final class DemandCollector {
  /** Several reports in a row are lost by then. */
  private static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);

  private final Map<String, Report> byInstance = new HashMap<>();
  private final Map<String, Report> byRegion = new HashMap<>();

  private record Report(Map<String, Double> rates, int instances, long receivedNanoseconds) {}

  /** Returns the instance that collects for a region; the same on all that see the same members. */
  public static Optional<FleetMember> chooseCollector(List<FleetMember> members, String region) {
    Optional<FleetMember> best = Optional.empty();
    double bestScore = Double.MAX_VALUE;
    for (FleetMember member : members) {
      double score = Hashing.uniform(Hashing.hash(member.name()), Hashing.hash(region));
      if (member.region().equals(region) && score < bestScore) {
        bestScore = score;
        best = Optional.of(member);
      }
    }
    return best;
  }

  /** An instance of the region tells its demand. */
  public void reportInstanceDemand(
      String instance, Map<String, Double> rates, long nowNanoseconds) {
    byInstance.put(instance, new Report(rates, 1, nowNanoseconds));
  }

  /** The collector of another region tells its demand. */
  public void reportRegionDemand(
      String region, int instances, Map<String, Double> rates, long nowNanoseconds) {
    byRegion.put(region, new Report(rates, instances, nowNanoseconds));
  }

  /** Returns what an instance told last. */
  public Map<String, Double> instanceDemand(String instance) {
    Report report = byInstance.get(instance);
    return report == null ? Map.of() : report.rates();
  }

  /** Returns the demand of the region. */
  public Map<String, Double> regionDemand(long nowNanoseconds) {
    return sum(byInstance, new HashMap<>(), nowNanoseconds);
  }

  /** Returns the demand of the whole fleet. */
  public Map<String, Double> fleetDemand(long nowNanoseconds) {
    return sum(byRegion, regionDemand(nowNanoseconds), nowNanoseconds);
  }

  /** Returns how many instances of the region told their demand lately. */
  public int regionInstanceCount(long nowNanoseconds) {
    return instanceCount(byInstance, nowNanoseconds);
  }

  /** Returns how many instances of the fleet are in its demand. */
  public int fleetInstanceCount(long nowNanoseconds) {
    return regionInstanceCount(nowNanoseconds) + instanceCount(byRegion, nowNanoseconds);
  }

  private static int instanceCount(Map<String, Report> parts, long nowNanoseconds) {
    removeExpired(parts, nowNanoseconds);
    return parts.values().stream().mapToInt(Report::instances).sum();
  }

  private static Map<String, Double> sum(
      Map<String, Report> parts, Map<String, Double> start, long nowNanoseconds) {
    removeExpired(parts, nowNanoseconds);
    Map<String, Double> sum = new HashMap<>(start);
    for (Report report : parts.values()) {
      report.rates().forEach((organisation, rate) -> sum.merge(organisation, rate, Double::sum));
    }
    return sum;
  }

  private static void removeExpired(Map<String, Report> parts, long nowNanoseconds) {
    parts
        .values()
        .removeIf(
            report -> nowNanoseconds - report.receivedNanoseconds() > REPORT_LIFETIME.toNanos());
  }
}
