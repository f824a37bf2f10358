package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Orders the servers of a service for each affinity key by weighted rendezvous hashing. The order
 * is stable, so requests with the same key go to servers that have handled the key recently.
 *
 * <p>A key is placed in the caller's region if the region has at least an average number of slots.
 * Otherwise only a corresponding part of the keys is placed there, and the others are placed in
 * regions with spare slots. Immutable.
 */
final class Placement {
  /** Candidates in the key's region. Further servers would not have handled the key recently. */
  private static final int LOCAL_CANDIDATE_COUNT = 4;

  /** Candidates in each other region. */
  private static final int REMOTE_CANDIDATE_COUNT = 2;

  private final Map<String, List<HashedServer>> serversByRegion = new LinkedHashMap<>();
  private final Map<String, Double> slotsByRegion = new LinkedHashMap<>();

  private record HashedServer(ServerState server, long mixedHash, double slots) {}

  private record ScoredServer(ServerState server, double score) {}

  /** Creates the placement on the servers of one service that may get requests. */
  Placement(List<ServerState> servers) {
    for (ServerState server : servers) {
      double weight = server.registration().slots();
      serversByRegion
          .computeIfAbsent(server.region(), unused -> new ArrayList<>())
          .add(
              new HashedServer(
                  server, Hashing.mix(Hashing.hash(server.registration().identifier())), weight));
      slotsByRegion.merge(server.region(), weight, Double::sum);
    }
  }

  /** Returns the candidate servers for the hash of an affinity key, the preferred one first. */
  List<ServerState> candidates(long keyHash, String callerRegion, Predicate<String> allowedRegion) {
    return candidates(
        keyHash, callerRegion, allowedRegion, LOCAL_CANDIDATE_COUNT, REMOTE_CANDIDATE_COUNT);
  }

  private List<ServerState> candidates(
      long keyHash,
      String callerRegion,
      Predicate<String> allowedRegion,
      int localCount,
      int remoteCount) {
    List<String> regions = serversByRegion.keySet().stream().filter(allowedRegion).toList();
    if (regions.isEmpty()) {
      return List.of();
    }
    String preferredRegion = placementRegion(keyHash, callerRegion, regions);
    List<ServerState> candidates = new ArrayList<>();
    addBestCandidates(candidates, preferredRegion, keyHash, localCount);
    if (!preferredRegion.equals(callerRegion) && regions.contains(callerRegion)) {
      addBestCandidates(candidates, callerRegion, keyHash, remoteCount);
    }
    for (String region : regions) {
      if (!region.equals(preferredRegion) && !region.equals(callerRegion)) {
        addBestCandidates(candidates, region, keyHash, remoteCount);
      }
    }
    return candidates;
  }

  /** Returns all servers that may get requests. */
  List<ServerState> servers() {
    return serversByRegion.values().stream()
        .flatMap(List::stream)
        .map(HashedServer::server)
        .toList();
  }

  /** Returns all servers that may get requests, in the order of {@link #candidates}. */
  List<ServerState> allCandidates(
      long keyHash, String callerRegion, Predicate<String> allowedRegion) {
    return candidates(keyHash, callerRegion, allowedRegion, Integer.MAX_VALUE, Integer.MAX_VALUE);
  }

  /** Returns the region in which an affinity key is placed for callers of a region. */
  private String placementRegion(long keyHash, String callerRegion, List<String> regions) {
    double total = regions.stream().mapToDouble(this::slotsInRegion).sum();
    double localSlots = regions.contains(callerRegion) ? slotsInRegion(callerRegion) : 0;
    double localRatio = Math.min(1, localSlots * regions.size() / total);
    long callerHash = Hashing.hash(callerRegion);
    if (Hashing.uniform(keyHash, callerHash) < localRatio) {
      return callerRegion;
    }
    String best = regions.get(0);
    double bestScore = Double.MAX_VALUE;
    for (String region : regions) {
      double spareSlots = slotsInRegion(region) - total / regions.size();
      if (region.equals(callerRegion) || spareSlots <= 0) {
        continue;
      }
      double score =
          Hashing.rendezvousScore(keyHash ^ callerHash, Hashing.hash(region), spareSlots);
      if (score < bestScore) {
        bestScore = score;
        best = region;
      }
    }
    return best;
  }

  private double slotsInRegion(String region) {
    return slotsByRegion.getOrDefault(region, 0.0);
  }

  private void addBestCandidates(List<ServerState> target, String region, long keyHash, int count) {
    List<HashedServer> servers = serversByRegion.getOrDefault(region, List.of());
    List<ScoredServer> best =
        count < servers.size() ? best(servers, keyHash, count) : sorted(servers, keyHash);
    best.forEach(scored -> target.add(scored.server()));
  }

  private static List<ScoredServer> sorted(List<HashedServer> servers, long keyHash) {
    List<ScoredServer> scored = new ArrayList<>();
    servers.forEach(
        server -> scored.add(new ScoredServer(server.server(), score(server, keyHash))));
    // Comparator.comparingDouble makes a serializable lambda, which no class archive holds.
    scored.sort((one, other) -> Double.compare(one.score(), other.score()));
    return scored;
  }

  /**
   * Returns the first servers of the order. Few of many servers are wanted for each request, so
   * inserting them is cheaper than sorting all.
   */
  private static List<ScoredServer> best(List<HashedServer> servers, long keyHash, int count) {
    List<ScoredServer> best = new ArrayList<>(count + 1);
    for (HashedServer server : servers) {
      double score = score(server, keyHash);
      int position = best.size();
      while (position > 0 && score < best.get(position - 1).score()) {
        position--;
      }
      if (position < count) {
        best.add(position, new ScoredServer(server.server(), score));
        if (best.size() > count) {
          best.removeLast();
        }
      }
    }
    return best;
  }

  private static double score(HashedServer server, long keyHash) {
    return Hashing.rendezvousScoreOfMixed(keyHash, server.mixedHash(), server.slots());
  }
}
