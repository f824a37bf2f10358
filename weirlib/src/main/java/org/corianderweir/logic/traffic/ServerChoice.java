package org.corianderweir.logic.traffic;

import java.util.List;
import java.util.Optional;

/**
 * Chooses among the candidates for an affinity key the server with the lowest expected latency. The
 * latency is a ratio to the usual latency of the service. A server that has handled the key
 * recently is preferred even if the request has to wait there for some time. The speed that a
 * server reports scales all work on it.
 */
final class ServerChoice {
  /** Latency on a server that has not handled the key recently, compared with one that has. */
  private static final double AFFINITY_MISS_LATENCY_RATIO = 3.0;

  /**
   * Additional latency for each further rank, so that requests with the same affinity key also go
   * to the same server when they cannot use the preferred one.
   */
  private static final double RANK_LATENCY_RATIO = 0.2;

  /** Additional latency of a server in another region. */
  private static final double REMOTE_LATENCY_RATIO = 0.4;

  /** Additional latency of a server whose requests all fail; scaled by its failure ratio. */
  private static final double FAILURE_LATENCY_RATIO = 8.0;

  /** Running and waiting requests per slot above which a server rejects further ones. */
  private static final double FULL_LOAD_REQUESTS_PER_SLOT = 3.5;

  /**
   * Additional latency of a server for a large body, for each megabyte of bodies that this instance
   * has in progress there. Bodies of 140 kB in progress outweigh that a server has handled the
   * object recently.
   */
  private static final double BODY_LATENCY_RATIO_PER_MEGABYTE = 16;

  private static final double MEGABYTE = 1024 * 1024;

  private ServerChoice() {}

  /**
   * A candidate for a request.
   *
   * @param preferred whether the server is the first candidate
   * @param usable whether the request may be sent to the server
   */
  record Candidate(ServerState server, boolean preferred, boolean usable) {}

  /**
   * The chosen server.
   *
   * @param rank position of the server among the candidates; 0 is the preferred one
   */
  record Chosen(ServerState server, int rank) {}

  /**
   * Returns the usable candidate with the lowest expected latency.
   *
   * @param largeBody whether the request has a large body, which servers with fewer body bytes in
   *     progress are preferred for
   */
  static Optional<Chosen> best(
      List<Candidate> candidates,
      String region,
      boolean sticky,
      boolean largeBody,
      long nowNanoseconds) {
    Optional<Chosen> best = Optional.empty();
    double bestLatencyRatio = Double.MAX_VALUE;
    for (int rank = 0; rank < candidates.size(); rank++) {
      Candidate candidate = candidates.get(rank);
      if (!candidate.usable()) {
        continue;
      }
      double latencyRatio =
          expectedLatencyRatio(candidate, rank, region, sticky, largeBody, nowNanoseconds);
      if (latencyRatio < bestLatencyRatio) {
        bestLatencyRatio = latencyRatio;
        best = Optional.of(new Chosen(candidate.server(), rank));
      }
    }
    return best;
  }

  /** Returns whether a server is expected to reject further requests. */
  static boolean isFull(ServerState server, long nowNanoseconds) {
    return server.load(nowNanoseconds)
        >= FULL_LOAD_REQUESTS_PER_SLOT * server.registration().slots();
  }

  private static double bodyLatencyRatio(ServerState server) {
    return BODY_LATENCY_RATIO_PER_MEGABYTE * server.bodyBytesInProgress() / MEGABYTE;
  }

  /** Returns the expected latency of a request at a candidate, as a ratio to the usual latency. */
  static double expectedLatencyRatio(
      Candidate candidate,
      int rank,
      String region,
      boolean sticky,
      boolean largeBody,
      long nowNanoseconds) {
    ServerState server = candidate.server();
    double work =
        sticky && !candidate.preferred()
            ? AFFINITY_MISS_LATENCY_RATIO + RANK_LATENCY_RATIO * rank
            : 1;
    double slots = server.registration().slots();
    double load = server.load(nowNanoseconds);
    double waiting = Math.max(0, load + 1 - slots) / slots;
    double spread = sticky ? 0 : load / slots;
    double latencyRatio = Math.max(1, server.latencyRatio(nowNanoseconds));
    double remote = server.region().equals(region) ? 0 : REMOTE_LATENCY_RATIO;
    double bodies = largeBody ? bodyLatencyRatio(server) : 0;
    return (work + waiting + spread) * latencyRatio * server.speedRatio(nowNanoseconds)
        + FAILURE_LATENCY_RATIO * server.failureRatio(nowNanoseconds)
        + remote
        + bodies;
  }
}
