package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.traffic.ServiceSettings;

/**
 * Evaluates the servers for a request: which of them may get it, and which one is best. Records
 * nothing, so that it also serves to explain a decision. Not thread-safe.
 */
final class ServerSelection {
  /**
   * Ratio of a cold server's rate limit that its owners together use, since they may have different
   * views of the fleet.
   */
  private static final double COLD_RATE_SAFETY_RATIO = 0.9;

  private final ServerPool servers;

  ServerSelection(ServerPool servers) {
    this.servers = servers;
  }

  /** Whether a request may be sent to a server, or the first reason why not. */
  enum Verdict {
    USABLE("it may get the request"),
    EJECTED("requests to it were lost a short time ago"),
    UNRESPONSIVE("its requests in progress have had no response for long"),
    FULL("its queue is full"),
    CLOSED("it accepts no new requests"),
    RETURNING("it returns from a pause and is filled slowly"),
    TRIED("this request was sent to it before"),
    COLD("it is cold, and this instance's share of its rate is used or belongs to others");

    private final String reason;

    Verdict(String reason) {
      this.reason = reason;
    }

    String reason() {
      return reason;
    }
  }

  /** Which servers were evaluated, and how strictly. */
  enum Scope {
    USUAL("usual candidates"),
    LAST_RESORT("usual candidates, also failing and full ones as no other is left"),
    ALL_SERVERS("all servers of the service, as the usual candidates accept no new requests");

    private final String description;

    Scope(String description) {
      this.description = description;
    }

    String description() {
      return description;
    }
  }

  /**
   * The result of an evaluation.
   *
   * @param chosen the best usable server
   * @param candidates evaluated servers, the preferred one first
   * @param verdicts one for each candidate
   * @param sticky whether the request prefers servers that have handled its object
   */
  record Selection(
      Optional<ServerChoice.Chosen> chosen,
      List<ServerChoice.Candidate> candidates,
      List<Verdict> verdicts,
      Scope scope,
      boolean sticky) {}

  /**
   * Selects a server for a request.
   *
   * @param view view of the fleet that the servers were taken from
   * @param region region of the entry instance
   */
  Selection select(AdmittedRequest request, FleetView view, String region, long nowNanoseconds) {
    boolean sticky = request.route().sticky() && request.attributes().affinityKey().isPresent();
    String affinityKey =
        sticky
            ? request.route().name() + '/' + request.attributes().affinityKey().get()
            : request.attributes().identifier();
    Placement placement = servers.placement(request.service());
    long keyHash = Hashing.hash(affinityKey);
    Evaluation evaluation = new Evaluation(request, view, region, sticky, nowNanoseconds);
    List<ServerState> candidates = placement.candidates(keyHash, region, request::allowsRegion);
    Selection best = evaluation.best(candidates, Scope.USUAL);
    if (best.chosen().isEmpty()) {
      best = evaluation.best(candidates, Scope.LAST_RESORT);
    }
    boolean closed =
        best.chosen().isEmpty()
            && candidates.stream().anyMatch(server -> server.condition(nowNanoseconds).isClosed());
    return closed
        ? evaluation.best(
            placement.allCandidates(keyHash, region, request::allowsRegion), Scope.ALL_SERVERS)
        : best;
  }

  /** The evaluation of servers for one request at one time. */
  private final class Evaluation {
    private final AdmittedRequest request;
    private final FleetView view;
    private final String region;
    private final boolean sticky;
    private final long nowNanoseconds;

    Evaluation(
        AdmittedRequest request,
        FleetView view,
        String region,
        boolean sticky,
        long nowNanoseconds) {
      this.request = request;
      this.view = view;
      this.region = region;
      this.sticky = sticky;
      this.nowNanoseconds = nowNanoseconds;
    }

    Selection best(List<ServerState> rankedServers, Scope scope) {
      List<ServerChoice.Candidate> candidates = new ArrayList<>();
      List<Verdict> verdicts = new ArrayList<>();
      for (int rank = 0; rank < rankedServers.size(); rank++) {
        ServerState server = rankedServers.get(rank);
        Verdict verdict = verdict(server, scope != Scope.USUAL);
        verdicts.add(verdict);
        candidates.add(new ServerChoice.Candidate(server, rank == 0, verdict == Verdict.USABLE));
      }
      return new Selection(
          ServerChoice.best(candidates, region, sticky, nowNanoseconds),
          candidates,
          verdicts,
          scope,
          sticky);
    }

    private Verdict verdict(ServerState server, boolean lastResort) {
      if (!lastResort && server.isEjected(nowNanoseconds)) {
        return Verdict.EJECTED;
      }
      if (!lastResort && server.isUnresponsive(nowNanoseconds)) {
        return Verdict.UNRESPONSIVE;
      }
      if (!lastResort && ServerChoice.isFull(server, nowNanoseconds)) {
        return Verdict.FULL;
      }
      if (server.condition(nowNanoseconds).isClosed()) {
        return Verdict.CLOSED;
      }
      if (!server.takesMoreAfterPause(nowNanoseconds)) {
        return Verdict.RETURNING;
      }
      if (request.hasTried(server.registration().identifier())) {
        return Verdict.TRIED;
      }
      return acceptsRequest(server) ? Verdict.USABLE : Verdict.COLD;
    }

    /** Returns whether a server is warm or this instance's share of a cold server has room. */
    private boolean acceptsRequest(ServerState server) {
      if (!server.isCold(nowNanoseconds)) {
        return true;
      }
      double rate =
          view.index()
              .map(index -> index.configuration().services().get(request.service()))
              .map(ServiceSettings::coldRequestsPerSecond)
              .orElse(0.0);
      if (rate <= 0) {
        return true;
      }
      int owners = servers.coldServerOwnerCount(server);
      return owners > 0
          && server.coldRequests(nowNanoseconds) + 1
              <= Math.max(1, COLD_RATE_SAFETY_RATIO * rate / owners);
    }
  }
}
