package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.ServiceSettings;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;

/** Test data of a small fleet: two regions, two services, one organisation. */
final class TrafficFixture {
  static final long NOW = Duration.ofHours(1).toNanos();
  static final InstanceLocation LOCATION =
      new InstanceLocation("north-a", "north", Map.of("north-a", "north", "south-a", "south"));
  static final FleetMember SELF = member("entry-1", "north-a", "north");
  static final FleetBounds BOUNDS =
      new FleetBounds(0.2, 20, Duration.ofSeconds(10), 0.1, 20, Duration.ofSeconds(5));
  static final CallerOrganisation ORGANISATION = organisation(100, 100, Set.of("key-1"));

  private TrafficFixture() {}

  static FleetMember member(String name, String zone, String region) {
    return new FleetMember(name, "10.0.0.1", 80, 81, zone, region, 1);
  }

  static CallerOrganisation organisation(double rate, double burst, Set<String> keys) {
    return new CallerOrganisation("club", keys, OptionalInt.empty(), rate, burst, Set.of());
  }

  static TrafficRoute route(String name, boolean idempotent, Set<String> allowedRegions) {
    return route(name, idempotent ? RequestKind.SAFE : RequestKind.UNSAFE, allowedRegions);
  }

  static TrafficRoute route(String name, RequestKind kind, Set<String> allowedRegions) {
    return new TrafficRoute(
        name,
        "rota.example",
        "/" + name + "/",
        kind,
        Duration.ofSeconds(2),
        Duration.ofMillis(600),
        1,
        List.of(new WeightedService("desk", 1)),
        2,
        false,
        true,
        allowedRegions);
  }

  static TrafficConfiguration configuration(long version, List<TrafficRoute> routes) {
    ServiceSettings desk = new ServiceSettings("desk", "/health", 100, Duration.ofSeconds(3), 9);
    return new TrafficConfiguration(
        version,
        routes,
        Map.of("desk", desk),
        List.of(ORGANISATION),
        new CallerLimits(1000, 1_000_000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  static ServerRegistration server(String identifier, String zone) {
    return new ServerRegistration(
        identifier, "desk", "10.0.1.1", 8080, zone, 3, false, Duration.ZERO, 1_000);
  }

  static ServerRegistration coldServer(String identifier, String zone) {
    return coldServer(identifier, zone, Duration.ofSeconds(3));
  }

  static ServerRegistration coldServer(String identifier, String zone, Duration remaining) {
    return new ServerRegistration(
        identifier, "desk", "10.0.1.1", 8080, zone, 3, false, remaining, 1_000);
  }

  static ServerRegistration startedLater(ServerRegistration server, long milliseconds) {
    return new ServerRegistration(
        server.identifier(),
        server.service(),
        server.host(),
        server.port(),
        server.zone(),
        server.slots(),
        server.draining(),
        server.coldRemaining(),
        server.startedMilliseconds() + milliseconds);
  }

  static ServerRegistration draining(ServerRegistration server) {
    return new ServerRegistration(
        server.identifier(),
        server.service(),
        server.host(),
        server.port(),
        server.zone(),
        server.slots(),
        true,
        server.coldRemaining(),
        server.startedMilliseconds());
  }

  static FleetView view(
      List<TrafficRoute> routes, List<ServerRegistration> servers, Set<String> zones) {
    return view(routes, servers, zones, List.of(SELF));
  }

  static FleetView view(
      List<TrafficRoute> routes,
      List<ServerRegistration> servers,
      Set<String> zones,
      List<FleetMember> members) {
    Map<String, ServerRegistration> byIdentifier = new HashMap<>();
    servers.forEach(server -> byIdentifier.put(server.identifier(), server));
    return new FleetView(
        Optional.of(new TrafficIndex(configuration(1, routes))),
        byIdentifier,
        zones,
        members,
        Optional.empty(),
        1);
  }

  static List<ServerRegistration> servers(String zone, int count) {
    List<ServerRegistration> servers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      servers.add(server(zone + "-" + number, zone));
    }
    return servers;
  }

  static RequestAttributes request(String route, String affinityKey) {
    return new RequestAttributes(
        "request-" + route + affinityKey,
        "rota.example",
        "/" + route + "/x",
        Optional.of("key-1"),
        Optional.of(affinityKey),
        OptionalLong.of(4_000),
        Duration.ZERO);
  }
}
