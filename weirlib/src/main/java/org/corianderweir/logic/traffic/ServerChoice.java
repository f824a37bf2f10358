package org.corianderweir.logic.traffic;

import java.util.List;
import java.util.Optional;

/**
 * Chooses among the candidates of an object by the expected time, in units of the service's usual
 * time: a server that has handled the object lately is worth some waiting.
 */
final class ServerChoice {
  /** Time on a server that has not handled the object lately, compared with one that has. */
  private static final double AFFINITY_MISS_LATENCY_RATIO = 3.0;

  /** Additional time for each further candidate, so that spilled objects meet again. */
  private static final double RANK_LATENCY_RATIO = 0.2;

  /** Additional time in another region. */
  private static final double REMOTE_LATENCY_RATIO = 0.4;

  /** A failed request costs this much time, in units of the usual time. */
  private static final double FAILURE_LATENCY_RATIO = 8.0;

  /** Requests per slot beyond which a server would refuse. */
  private static final double FULL_LOAD_REQUESTS_PER_SLOT = 3.5;

  private ServerChoice() {}

  /** A candidate and what speaks against it. */
  record Candidate(ServerState server, boolean preferred, boolean usable) {}

  /**
   * A choice.
   *
   * @param rank place of the server among the candidates, 0 for the preferred one
   */
  record Chosen(ServerState server, int rank) {}

  /** Returns the best usable candidate. */
  static Optional<Chosen> best(
      List<Candidate> candidates, String region, boolean sticky, long nowNanoseconds) {
    Optional<Chosen> best = Optional.empty();
    double bestLatencyRatio = Double.MAX_VALUE;
    for (int rank = 0; rank < candidates.size(); rank++) {
      Candidate candidate = candidates.get(rank);
      if (!candidate.usable()) {
        continue;
      }
      double latencyRatio = expectedLatencyRatio(candidate, rank, region, sticky, nowNanoseconds);
      if (latencyRatio < bestLatencyRatio) {
        bestLatencyRatio = latencyRatio;
        best = Optional.of(new Chosen(candidate.server(), rank));
      }
    }
    return best;
  }

  /** Returns whether a server would refuse further requests. */
  static boolean isFull(ServerState server, long nowNanoseconds) {
    return server.load(nowNanoseconds)
        >= FULL_LOAD_REQUESTS_PER_SLOT * server.registration().slots();
  }

  private static double expectedLatencyRatio(
      Candidate candidate, int rank, String region, boolean sticky, long nowNanoseconds) {
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
    return (work + waiting + spread) * latencyRatio
        + FAILURE_LATENCY_RATIO * server.failureRatio(nowNanoseconds)
        + remote;
  }
}
