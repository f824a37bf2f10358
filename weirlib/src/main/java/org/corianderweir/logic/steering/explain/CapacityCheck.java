package org.corianderweir.logic.steering.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.corianderweir.logic.steering.CellConditions;
import org.corianderweir.logic.steering.explain.DryRunReport.ZoneShares;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;

/**
 * Compares where a selector's traffic would go with the room there is. The present traffic is the
 * number of slots in use at the service's servers, taken as spread evenly over the callers'
 * regions.
 */
final class CapacityCheck {
  private final Configuration configuration;
  private final CellConditions.ServerView servers;

  CapacityCheck(Configuration configuration, CellConditions.ServerView servers) {
    this.configuration = configuration;
    this.servers = servers;
  }

  List<String> problems(Selector selector, List<ZoneShares> zones) {
    List<String> problems = new ArrayList<>();
    boolean anywhere = zones.stream().anyMatch(zone -> zone.after() > 0);
    if (!anywhere) {
      problems.add("selector " + selector.name() + ": no backend server matches a destination");
      return problems;
    }
    double callerRegions = zones.stream().map(ZoneShares::callerRegion).distinct().count();
    double inUse = slotsInUse(selector.service());
    Map<String, Double> wanted = new TreeMap<>();
    Map<String, Integer> slots = new TreeMap<>();
    Map<String, Double> wantedOfRegion = new TreeMap<>();
    for (ZoneShares zone : zones) {
      double part = zone.after() * inUse / callerRegions;
      wanted.merge(zone.availabilityZone(), part, Double::sum);
      wantedOfRegion.merge(zone.region(), part, Double::sum);
      slots.merge(zone.availabilityZone(), zone.slotsAfter(), Math::max);
      missingLink(selector, zone, problems);
    }
    wanted.forEach(
        (zone, count) -> {
          if (count > slots.getOrDefault(zone, 0)) {
            problems.add(tooMuch(selector, "zone " + zone, count, slots.getOrDefault(zone, 0)));
          }
        });
    configuration.regions().stream()
        .filter(region -> region.concurrency() > 0)
        .filter(region -> wantedOfRegion.getOrDefault(region.name(), 0.0) > region.concurrency())
        .forEach(
            region ->
                problems.add(
                    tooMuch(
                        selector,
                        "region " + region.name(),
                        wantedOfRegion.getOrDefault(region.name(), 0.0),
                        region.concurrency())));
    return problems;
  }

  private void missingLink(Selector selector, ZoneShares zone, List<String> problems) {
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
      CellConditions.ServerCondition condition = servers.of(server);
      if (server.service().equals(service) && condition.measured()) {
        inUse += condition.utilisation() * server.slots();
      }
    }
    return inUse;
  }

  private static String tooMuch(Selector selector, String place, double wanted, int room) {
    return "selector %s: %s would run %.0f requests at the present traffic and has room for %d"
        .formatted(selector.name(), place, wanted, room);
  }
}
