package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.traffic.FleetMember;

/**
 * Adds up the demand of organisations over the instances of a region and over the other regions,
 * and counts the instances that are included. Reports expire soon, because the demand of an
 * instance that stopped reporting may have changed. Not thread-safe.
 */
public final class DemandCollector {
  /** Several reports in a row have been lost when a report reaches this age. */
  private static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);

  private final Map<String, Report> byInstance = new HashMap<>();
  private final Map<String, Report> byRegion = new HashMap<>();

  private record Report(Map<String, Double> rates, int instances, long receivedNanoseconds) {}

  /**
   * Returns the instance that collects the demand of a region. Instances with the same list of
   * members choose the same one.
   */
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

  /** Records the demand of an instance of the region, in requests per second by organisation. */
  public void reportInstanceDemand(
      String instance, Map<String, Double> rates, long nowNanoseconds) {
    byInstance.put(instance, new Report(rates, 1, nowNanoseconds));
  }

  /** Records the demand of another region, in requests per second by organisation. */
  public void reportRegionDemand(
      String region, int instances, Map<String, Double> rates, long nowNanoseconds) {
    byRegion.put(region, new Report(rates, instances, nowNanoseconds));
  }

  /** Returns the last reported demand of an instance, in requests per second by organisation. */
  public Map<String, Double> instanceDemand(String instance) {
    Report report = byInstance.get(instance);
    return report == null ? Map.of() : report.rates();
  }

  /** Returns the demand of the region, in requests per second by organisation. */
  public Map<String, Double> regionDemand(long nowNanoseconds) {
    return sum(byInstance, new HashMap<>(), nowNanoseconds);
  }

  /** Returns the demand of the whole fleet, in requests per second by organisation. */
  public Map<String, Double> fleetDemand(long nowNanoseconds) {
    return sum(byRegion, regionDemand(nowNanoseconds), nowNanoseconds);
  }

  /** Returns how many instances of the region have reports that have not expired. */
  public int regionInstanceCount(long nowNanoseconds) {
    return instanceCount(byInstance, nowNanoseconds);
  }

  /** Returns how many instances are included in the demand of the fleet. */
  public int fleetInstanceCount(long nowNanoseconds) {
    return regionInstanceCount(nowNanoseconds) + instanceCount(byRegion, nowNanoseconds);
  }

  private static int instanceCount(Map<String, Report> reports, long nowNanoseconds) {
    removeExpired(reports, nowNanoseconds);
    return reports.values().stream().mapToInt(Report::instances).sum();
  }

  private static Map<String, Double> sum(
      Map<String, Report> reports, Map<String, Double> start, long nowNanoseconds) {
    removeExpired(reports, nowNanoseconds);
    Map<String, Double> sum = new HashMap<>(start);
    for (Report report : reports.values()) {
      report.rates().forEach((organisation, rate) -> sum.merge(organisation, rate, Double::sum));
    }
    return sum;
  }

  private static void removeExpired(Map<String, Report> reports, long nowNanoseconds) {
    reports
        .values()
        .removeIf(
            report -> nowNanoseconds - report.receivedNanoseconds() > REPORT_LIFETIME.toNanos());
  }
}
