package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.ServerRegistration;

/** The backend servers and their state as seen by this instance. Not thread-safe. */
final class ServerPool {
  /** Number of entry instances that share the rate limit of a cold server. */
  private static final int COLD_SERVER_OWNER_COUNT = 3;

  private static final int DEPARTED_LIMIT = 1_024;

  private final FleetMember self;
  private final InstanceLocation location;
  private final Map<String, ServerState> servers = new HashMap<>();

  /**
   * Servers whose registration is missing, the latest last. What they said of themselves counts
   * when the same start of a server is registered again.
   */
  private final Map<String, ServerState> departed = new LinkedHashMap<>();

  private final Map<String, Placement> placements = new HashMap<>();
  private final Map<String, Integer> coldServerOwnerCounts = new HashMap<>();
  private FleetView view = FleetView.EMPTY;

  ServerPool(FleetMember self, InstanceLocation location) {
    this.self = self;
    this.location = location;
  }

  /** Applies a new view of the fleet. */
  void apply(FleetView newView, long nowNanoseconds) {
    view = newView;
    departMissing(newView);
    for (ServerRegistration registration : newView.servers().values()) {
      ServerState returned = departed.remove(registration.identifier());
      if (returned != null) {
        servers.put(registration.identifier(), returned);
      }
      ServerState state = servers.get(registration.identifier());
      if (state == null || isDifferentServer(state.registration(), registration)) {
        String region = location.regionOf(registration.zone());
        servers.put(
            registration.identifier(), new ServerState(registration, region, nowNanoseconds));
      } else {
        state.update(registration, nowNanoseconds);
      }
    }
    placements.clear();
    coldServerOwnerCounts.clear();
  }

  private void departMissing(FleetView newView) {
    Iterator<Map.Entry<String, ServerState>> present = servers.entrySet().iterator();
    while (present.hasNext()) {
      Map.Entry<String, ServerState> entry = present.next();
      if (!newView.servers().containsKey(entry.getKey())) {
        departed.put(entry.getKey(), entry.getValue());
        present.remove();
      }
    }
    while (departed.size() > DEPARTED_LIMIT) {
      departed.remove(departed.keySet().iterator().next());
    }
  }

  /** Records that a server said that it leaves. */
  void recordLeaving(ServerState server) {
    server.recordLeaving();
    placements.remove(server.registration().service());
  }

  /** Returns whether the object stands for a server that is registered now. */
  boolean contains(ServerState server) {
    return servers.get(server.registration().identifier()) == server;
  }

  /** Returns the regions of the servers. */
  Set<String> regions() {
    return servers.values().stream().map(ServerState::region).collect(Collectors.toSet());
  }

  /** Returns the number of servers by the label of their condition. */
  Map<String, Integer> conditionCounts(long nowNanoseconds) {
    Map<String, Integer> counts = new HashMap<>();
    servers
        .values()
        .forEach(server -> counts.merge(server.condition(nowNanoseconds).label(), 1, Integer::sum));
    return counts;
  }

  /** Returns the placement on the servers of a service that may get requests. */
  Placement placement(String service) {
    return placements.computeIfAbsent(service, this::createPlacement);
  }

  /**
   * Returns how many entry instances share the rate limit of a cold server, or 0 if this instance
   * may not send to the server. The owners are chosen by rendezvous hashing, so that only a few
   * instances together have to stay within the limit.
   */
  int coldServerOwnerCount(ServerState server) {
    return coldServerOwnerCounts.computeIfAbsent(
        server.registration().identifier(), unused -> countColdServerOwners(server));
  }

  private int countColdServerOwners(ServerState server) {
    long hash = Hashing.hash(server.registration().identifier());
    double ownScore = Hashing.uniform(hash, Hashing.hash(self.name()));
    int lowerScoreCount = 0;
    int localMemberCount = 0;
    for (FleetMember member : view.members()) {
      if (!member.region().equals(server.region())) {
        continue;
      }
      localMemberCount++;
      if (!member.name().equals(self.name())
          && Hashing.uniform(hash, Hashing.hash(member.name())) < ownScore) {
        lowerScoreCount++;
      }
    }
    boolean isLocal = self.region().equals(server.region());
    if (localMemberCount == 0 || !isLocal || lowerScoreCount >= COLD_SERVER_OWNER_COUNT) {
      return 0;
    }
    return Math.min(COLD_SERVER_OWNER_COUNT, localMemberCount);
  }

  private Placement createPlacement(String service) {
    List<ServerState> usable = new ArrayList<>();
    for (ServerState server : servers.values()) {
      ServerRegistration registration = server.registration();
      if (registration.service().equals(service)
          && !registration.draining()
          && !server.isLeaving()
          && !view.evacuatedZones().contains(registration.zone())) {
        usable.add(server);
      }
    }
    return new Placement(usable);
  }

  private static boolean isDifferentServer(
      ServerRegistration known, ServerRegistration registration) {
    return known.startedMilliseconds() != registration.startedMilliseconds()
        || !known.host().equals(registration.host())
        || known.port() != registration.port()
        || !known.service().equals(registration.service())
        || !known.zone().equals(registration.zone());
  }
}
