package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Searches the server for a request: first among the candidates of its object, then, where these
 * don't take it, among all servers that it may use. Records nothing, so that it also serves to
 * explain a decision. Not thread-safe.
 */
final class ServerSearch {
  /**
   * Large bodies that this instance has in progress at one server while another one accepts the
   * body. A server ends if the requests that it holds exceed its memory.
   */
  private static final int LARGE_BODIES_PER_SERVER = 2;

  private final ServerPool servers;

  ServerSearch(ServerPool servers) {
    this.servers = servers;
  }

  /** Whether a request may be sent to a server, or the first reason why not. */
  enum Verdict {
    USABLE("it may get the request"),
    EJECTED("requests to it were lost a short time ago"),
    UNRESPONSIVE("its requests in progress have had no response for long"),
    FULL("its queue is full"),
    HOLDS_LARGE_BODIES("this instance has the allowed number of large bodies in progress there"),
    PAUSING("it asked for a pause"),
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

  /** Which servers a search leaves out besides closed ones. */
  private enum Strictness {
    /** Servers that are failing, full, or hold the allowed number of large bodies. */
    SPREAD,
    /** Servers that are failing or full. */
    HEALTHY,
    /** No others. */
    LAST_RESORT
  }

  /** Which servers were searched, and how strictly. */
  enum Scope {
    LARGE_BODY("usual candidates, with few large bodies in progress", Strictness.SPREAD),
    LARGE_BODY_ALL_SERVERS(
        "all servers of the service, as no usual candidate takes a large body", Strictness.SPREAD),
    USUAL("usual candidates", Strictness.HEALTHY),
    LAST_RESORT(
        "usual candidates, also failing and full ones as no other is left", Strictness.LAST_RESORT),
    ALL_SERVERS(
        "all servers of the service, as the usual candidates accept no new requests",
        Strictness.LAST_RESORT);

    private final String description;
    private final Strictness strictness;

    Scope(String description, Strictness strictness) {
      this.description = description;
      this.strictness = strictness;
    }

    String description() {
      return description;
    }
  }

  /**
   * The result of a search.
   *
   * @param chosen the best usable server
   * @param candidates searched servers, the preferred one first
   * @param verdicts one for each candidate
   * @param sticky whether the request prefers servers that have handled its object
   * @param largeBody whether the request prefers servers with fewer body bytes in progress
   */
  record Result(
      Optional<ServerChoice.Chosen> chosen,
      List<ServerChoice.Candidate> candidates,
      List<Verdict> verdicts,
      Scope scope,
      boolean sticky,
      boolean largeBody) {
    /** Returns whether no server may get the request. */
    boolean isEmpty() {
      return chosen.isEmpty();
    }
  }

  /**
   * Searches the best server for a request.
   *
   * @param region region of the entry instance
   */
  Result search(AdmittedRequest request, String region, long nowNanoseconds) {
    boolean sticky = request.route().sticky() && request.attributes().affinityKey().isPresent();
    String affinityKey =
        sticky
            ? request.route().name() + '/' + request.attributes().affinityKey().get()
            : request.attributes().identifier();
    Placement placement = servers.placement(request.service());
    long keyHash = Hashing.hash(affinityKey);
    Pass pass = new Pass(request, region, sticky, nowNanoseconds);
    List<ServerState> candidates = placement.candidates(keyHash, region, request::allowsRegion);
    if (request.isLargeUpload()) {
      Result result = pass.best(candidates, Scope.LARGE_BODY);
      if (result.isEmpty()) {
        List<ServerState> all = placement.allCandidates(keyHash, region, request::allowsRegion);
        result = pass.best(all, Scope.LARGE_BODY_ALL_SERVERS);
      }
      if (!result.isEmpty()) {
        return result;
      }
    }
    Result result = pass.best(candidates, Scope.USUAL);
    if (result.isEmpty()) {
      result = pass.best(candidates, Scope.LAST_RESORT);
    }
    boolean closed =
        result.isEmpty()
            && candidates.stream().anyMatch(server -> server.condition(nowNanoseconds).isClosed());
    if (closed) {
      List<ServerState> all = placement.allCandidates(keyHash, region, request::allowsRegion);
      result = pass.best(all, Scope.ALL_SERVERS);
    }
    return result;
  }

  /** The evaluation of servers for one request at one time. */
  private final class Pass {
    private final AdmittedRequest request;
    private final String region;
    private final boolean sticky;
    private final long nowNanoseconds;

    Pass(AdmittedRequest request, String region, boolean sticky, long nowNanoseconds) {
      this.request = request;
      this.region = region;
      this.sticky = sticky;
      this.nowNanoseconds = nowNanoseconds;
    }

    Result best(List<ServerState> rankedServers, Scope scope) {
      List<ServerChoice.Candidate> candidates = new ArrayList<>();
      List<Verdict> verdicts = new ArrayList<>();
      for (int rank = 0; rank < rankedServers.size(); rank++) {
        ServerState server = rankedServers.get(rank);
        Verdict verdict = verdict(server, scope.strictness);
        verdicts.add(verdict);
        candidates.add(new ServerChoice.Candidate(server, rank == 0, verdict == Verdict.USABLE));
      }
      boolean largeBody = request.isLargeUpload();
      return new Result(
          ServerChoice.best(candidates, region, sticky, largeBody, nowNanoseconds),
          candidates,
          verdicts,
          scope,
          sticky,
          largeBody);
    }

    private Verdict verdict(ServerState server, Strictness strictness) {
      // First the reasons that hold at every strictness, which a report of a full queue can
      // accompany.
      ServerCondition condition = server.condition(nowNanoseconds);
      if (condition.isClosed()) {
        return condition instanceof ServerCondition.Pausing ? Verdict.PAUSING : Verdict.CLOSED;
      }
      if (strictness != Strictness.LAST_RESORT && server.isEjected(nowNanoseconds)) {
        return Verdict.EJECTED;
      }
      if (strictness != Strictness.LAST_RESORT && server.isUnresponsive(nowNanoseconds)) {
        return Verdict.UNRESPONSIVE;
      }
      if (strictness != Strictness.LAST_RESORT && ServerChoice.isFull(server, nowNanoseconds)) {
        return Verdict.FULL;
      }
      if (strictness == Strictness.SPREAD && server.largeBodyCount() >= LARGE_BODIES_PER_SERVER) {
        return Verdict.HOLDS_LARGE_BODIES;
      }
      if (!server.takesMoreAfterPause(nowNanoseconds)) {
        return Verdict.RETURNING;
      }
      if (request.hasTried(server.registration().identifier())) {
        return Verdict.TRIED;
      }
      return servers.isWithinColdRate(request.service(), server, nowNanoseconds)
          ? Verdict.USABLE
          : Verdict.COLD;
    }
  }
}
