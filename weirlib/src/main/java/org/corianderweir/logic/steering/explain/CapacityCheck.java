package org.corianderweir.logic.steering.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.explain.DryRunReport.ZoneShares;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;

/**
 * Checks whether zones, regions and links have the capacity for a selector's traffic after a
 * change. The present traffic is estimated as the number of slots in use at the servers of the
 * service, assumed to be distributed evenly over the callers' regions.
 */
final class CapacityCheck {
  private final Configuration configuration;
  private final CellConditionEvaluator.ServerView servers;

  CapacityCheck(Configuration configuration, CellConditionEvaluator.ServerView servers) {
    this.configuration = configuration;
    this.servers = servers;
  }

  List<String> problems(Selector selector, List<ZoneShares> zones) {
    List<String> problems = new ArrayList<>();
    boolean hasTarget = zones.stream().anyMatch(zone -> zone.after() > 0);
    if (!hasTarget) {
      problems.add("selector " + selector.name() + ": no backend server matches a destination");
      return problems;
    }
    double callerRegions = zones.stream().map(ZoneShares::callerRegion).distinct().count();
    double inUse = slotsInUse(selector.service());
    Map<String, Double> expectedByZone = new TreeMap<>();
    Map<String, Integer> slots = new TreeMap<>();
    Map<String, Double> expectedByRegion = new TreeMap<>();
    for (ZoneShares zone : zones) {
      double expectedRequests = zone.after() * inUse / callerRegions;
      expectedByZone.merge(zone.availabilityZone(), expectedRequests, Double::sum);
      expectedByRegion.merge(zone.region(), expectedRequests, Double::sum);
      slots.merge(zone.availabilityZone(), zone.slotsAfter(), Math::max);
      addMissingLinkProblem(selector, zone, problems);
    }
    expectedByZone.forEach(
        (zone, count) -> {
          if (count > slots.getOrDefault(zone, 0)) {
            problems.add(
                capacityProblem(selector, "zone " + zone, count, slots.getOrDefault(zone, 0)));
          }
        });
    configuration.regions().stream()
        .filter(region -> region.concurrency() > 0)
        .filter(region -> expectedByRegion.getOrDefault(region.name(), 0.0) > region.concurrency())
        .forEach(
            region ->
                problems.add(
                    capacityProblem(
                        selector,
                        "region " + region.name(),
                        expectedByRegion.getOrDefault(region.name(), 0.0),
                        region.concurrency())));
    return problems;
  }

  private void addMissingLinkProblem(Selector selector, ZoneShares zone, List<String> problems) {
    boolean crosses = zone.after() > zone.before() && !zone.region().equals(zone.callerRegion());
    boolean linked =
        configuration.links().stream()
            .anyMatch(
                link ->
                    link.fromRegion().equals(zone.callerRegion())
                        && link.toRegion().equals(zone.region()));
    if (crosses && !linked && !configuration.links().isEmpty()) {
      problems.add(
          "selector %s: traffic from %s would go to %s, but there is no link between them"
              .formatted(selector.name(), zone.callerRegion(), zone.region()));
    }
  }

  private double slotsInUse(String service) {
    double inUse = 0;
    for (BackendServer server : configuration.backendServers()) {
      CellConditionEvaluator.ServerCondition condition = servers.conditionOf(server);
      if (server.service().equals(service) && condition.measured()) {
        inUse += condition.utilisation() * server.slots();
      }
    }
    return inUse;
  }

  private static String capacityProblem(
      Selector selector, String place, double expectedRequests, int capacity) {
    return "selector %s: %s would run %.0f requests at the present traffic and has room for %d"
        .formatted(selector.name(), place, expectedRequests, capacity);
  }
}
