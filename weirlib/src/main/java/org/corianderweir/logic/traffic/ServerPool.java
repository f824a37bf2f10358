package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.ServiceSettings;

/** The backend servers and their state as seen by this instance. Not thread-safe. */
final class ServerPool {
  /** Number of entry instances that share the rate limit of a cold server. */
  private static final int COLD_SERVER_OWNER_COUNT = 3;

  /**
   * Ratio of a cold server's rate limit that its owners together use, since they may have different
   * views of the fleet.
   */
  private static final double COLD_RATE_SAFETY_RATIO = 0.9;

  private static final Duration LONGEST_RETURN_DELAY = Duration.ofMillis(500);

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
  private final ReportOutbox outbox = new ReportOutbox();
  private FleetView view = FleetView.EMPTY;

  /** Why a server gets no requests, whatever their object. */
  enum Exclusion {
    LEAVING("it said that it leaves"),
    DRAINING("its registration says that it drains"),
    EVACUATED("its availability zone is evacuated");

    private final String reason;

    Exclusion(String reason) {
      this.reason = reason;
    }

    String reason() {
      return reason;
    }
  }

  /** A server that is not placed. */
  record Excluded(ServerState server, Exclusion exclusion) {}

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
    outbox.retain(this::contains);
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

  /** Records what a server says of itself with an answer. */
  void recordReport(ServerState server, SendOutcome.ServerReport report, long nowNanoseconds) {
    if (report.leaving()) {
      server.recordLeaving();
      placements.remove(server.registration().service());
    }
    if (!report.pause().isZero()) {
      server.recordPause(report.pause(), returnDelay(server, report.pause()), nowNanoseconds);
    }
    if (!report.load().equals(ServerLoad.NONE)) {
      server.recordLoad(report.load(), nowNanoseconds);
      if (contains(server)) {
        outbox.add(server, report.load(), nowNanoseconds);
      }
    }
    report
        .coldMilliseconds()
        .ifPresent(
            remaining -> server.recordColdRemaining(Duration.ofMillis(remaining), nowNanoseconds));
  }

  /** Returns a delay after a pause that differs by instance and server. */
  private Duration returnDelay(ServerState server, Duration pause) {
    double position =
        Hashing.uniform(
            Hashing.hash(self.name()), Hashing.hash(server.registration().identifier()));
    Duration longest = pause.compareTo(LONGEST_RETURN_DELAY) < 0 ? pause : LONGEST_RETURN_DELAY;
    return Duration.ofNanos(Math.round(position * longest.toNanos()));
  }

  /** Returns the reports that this instance has heard since the last call and shares. */
  List<SharedServerReport> takeReports(long nowNanoseconds) {
    return outbox.take(servers.size(), view.hasLargeRequests(), nowNanoseconds);
  }

  /**
   * Applies reports that other instances have heard. A report of a server that is not registered,
   * or of another start of it, is left out.
   *
   * @param sinceNanoseconds time from which their ages count
   * @param listener gets each report that tells something newer
   * @return number of these reports
   */
  int applyReports(
      List<SharedServerReport> reports,
      long sinceNanoseconds,
      BiConsumer<ServerState, ServerLoad> listener) {
    int newerCount = 0;
    for (SharedServerReport report : reports) {
      ServerState server = servers.get(report.server());
      if (server != null
          && server.registration().startedMilliseconds() == report.startedMilliseconds()
          && server.recordLoad(report.load(), report.heardNanoseconds(sinceNanoseconds))) {
        newerCount++;
        listener.accept(server, report.load());
      }
    }
    if (!reports.isEmpty()) {
      updateAverages(sinceNanoseconds);
    }
    return newerCount;
  }

  private void updateAverages(long nowNanoseconds) {
    Map<ServerGroup, LongSummaryStatistics> requests = new HashMap<>();
    for (ServerState server : servers.values()) {
      server
          .requestsOfOtherInstances(nowNanoseconds)
          .ifPresent(
              count ->
                  requests
                      .computeIfAbsent(group(server), unused -> new LongSummaryStatistics())
                      .accept(count));
    }
    for (ServerState server : servers.values()) {
      LongSummaryStatistics known = requests.get(group(server));
      if (known != null) {
        server.recordAverageRequests(known.getAverage(), nowNanoseconds);
      }
    }
  }

  /** Servers that have about the same load: those of one service in one region. */
  private record ServerGroup(String service, String region) {}

  private static ServerGroup group(ServerState server) {
    return new ServerGroup(server.registration().service(), server.region());
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

  /** Returns the number of servers by the label of the speed that they reported. */
  Map<String, Integer> speedCounts(long nowNanoseconds) {
    Map<String, Integer> counts = new HashMap<>();
    servers
        .values()
        .forEach(server -> counts.merge(server.speedLabel(nowNanoseconds), 1, Integer::sum));
    return counts;
  }

  /** Returns the number of body bytes that this instance has in progress at all servers. */
  long bodyBytesInProgress() {
    return servers.values().stream().mapToLong(ServerState::bodyBytesInProgress).sum();
  }

  /** Returns the placement on the servers of a service that may get requests. */
  Placement placement(String service) {
    return placements.computeIfAbsent(service, this::createPlacement);
  }

  /** Returns whether a server is warm or this instance's share of a cold server has room. */
  boolean isWithinColdRate(String service, ServerState server, long nowNanoseconds) {
    if (!server.isCold(nowNanoseconds)) {
      return true;
    }
    double rate =
        view.index()
            .map(index -> index.configuration().services().get(service))
            .map(ServiceSettings::coldRequestsPerSecond)
            .orElse(0.0);
    if (rate <= 0) {
      return true;
    }
    int owners = coldServerOwnerCount(server);
    return owners > 0
        && server.coldRequests(nowNanoseconds) + 1
            <= Math.max(1, COLD_RATE_SAFETY_RATIO * rate / owners);
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
      if (server.registration().service().equals(service) && exclusion(server).isEmpty()) {
        usable.add(server);
      }
    }
    return new Placement(usable);
  }

  private Optional<Exclusion> exclusion(ServerState server) {
    if (server.isLeaving()) {
      return Optional.of(Exclusion.LEAVING);
    }
    if (server.registration().draining()) {
      return Optional.of(Exclusion.DRAINING);
    }
    return view.evacuatedZones().contains(server.registration().zone())
        ? Optional.of(Exclusion.EVACUATED)
        : Optional.empty();
  }

  /** Returns the servers of a service that are not placed, ordered by identifier. */
  List<Excluded> excluded(String service) {
    return servers.values().stream()
        .filter(server -> server.registration().service().equals(service))
        .sorted(Comparator.comparing(server -> server.registration().identifier()))
        .flatMap(server -> exclusion(server).map(reason -> new Excluded(server, reason)).stream())
        .toList();
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
