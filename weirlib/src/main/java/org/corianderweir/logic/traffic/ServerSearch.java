package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Searches the server for a request: first among the candidates of its object, then, where these
 * don't take it, among all servers that it may use. Not thread-safe.
 */
final class ServerSearch {
  /**
   * Large bodies that this instance has in progress at one server while another one accepts the
   * body. A server ends if the requests that it holds exceed its memory.
   */
  private static final int LARGE_BODIES_PER_SERVER = 2;

  private final String region;
  private final ServerPool servers;

  /** Which servers a search leaves out. */
  private enum Strictness {
    /** Servers that are failing, full, or hold the allowed number of large bodies. */
    SPREAD,
    /** Servers that are failing or full. */
    HEALTHY,
    /** Only servers that are closed. */
    LAST_RESORT
  }

  /**
   * Creates a search.
   *
   * @param region region of this instance
   */
  ServerSearch(String region, ServerPool servers) {
    this.region = region;
    this.servers = servers;
  }

  /** Returns the best server for a request; empty if none may get it. */
  Optional<ServerChoice.Chosen> search(AdmittedRequest request, long nowNanoseconds) {
    boolean sticky = request.route().sticky() && request.attributes().affinityKey().isPresent();
    String affinityKey =
        sticky
            ? request.route().name() + '/' + request.attributes().affinityKey().get()
            : request.attributes().identifier();
    Placement placement = servers.placement(request.service());
    long keyHash = Hashing.hash(affinityKey);
    List<ServerState> candidates = placement.candidates(keyHash, region, request::allowsRegion);
    Optional<ServerChoice.Chosen> best = Optional.empty();
    if (request.isLargeUpload()) {
      best = best(request, candidates, sticky, Strictness.SPREAD, nowNanoseconds);
      if (best.isEmpty()) {
        List<ServerState> all = placement.allCandidates(keyHash, region, request::allowsRegion);
        best = best(request, all, sticky, Strictness.SPREAD, nowNanoseconds);
      }
    }
    if (best.isEmpty()) {
      best = best(request, candidates, sticky, Strictness.HEALTHY, nowNanoseconds);
    }
    if (best.isEmpty()) {
      best = best(request, candidates, sticky, Strictness.LAST_RESORT, nowNanoseconds);
    }
    boolean closed =
        best.isEmpty()
            && candidates.stream().anyMatch(server -> server.condition(nowNanoseconds).isClosed());
    if (closed) {
      List<ServerState> all = placement.allCandidates(keyHash, region, request::allowsRegion);
      best = best(request, all, sticky, Strictness.LAST_RESORT, nowNanoseconds);
    }
    return best;
  }

  private Optional<ServerChoice.Chosen> best(
      AdmittedRequest request,
      List<ServerState> rankedServers,
      boolean sticky,
      Strictness strictness,
      long nowNanoseconds) {
    List<ServerChoice.Candidate> candidates = new ArrayList<>();
    for (int rank = 0; rank < rankedServers.size(); rank++) {
      ServerState server = rankedServers.get(rank);
      boolean usable =
          isEligible(server, strictness, nowNanoseconds)
              && !server.condition(nowNanoseconds).isClosed()
              && server.takesMoreAfterPause(nowNanoseconds)
              && !request.hasTried(server.registration().identifier())
              && servers.isWithinColdRate(request.service(), server, nowNanoseconds);
      candidates.add(new ServerChoice.Candidate(server, rank == 0, usable));
    }
    return ServerChoice.best(candidates, region, sticky, request.isLargeUpload(), nowNanoseconds);
  }

  private static boolean isEligible(
      ServerState server, Strictness strictness, long nowNanoseconds) {
    boolean healthy =
        !server.isEjected(nowNanoseconds)
            && !server.isUnresponsive(nowNanoseconds)
            && !ServerChoice.isFull(server, nowNanoseconds);
    return switch (strictness) {
      case SPREAD -> healthy && server.largeBodyCount() < LARGE_BODIES_PER_SERVER;
      case HEALTHY -> healthy;
      case LAST_RESORT -> true;
    };
  }
}
