package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Gives each object of a service a fixed order of servers, so that its requests meet servers that
 * have handled it lately. An object stays in the caller's region as far as the region's part of the
 * slots goes; the others are placed in regions with slots to spare. Immutable.
 */
final class Placement {
  /** Candidates in the object's region: further ones would be cold for it. */
  private static final int CANDIDATES_IN_REGION = 4;

  /** Candidates in each other region. */
  private static final int CANDIDATES_ELSEWHERE = 2;

  private final Map<String, List<Place>> placesByRegion = new LinkedHashMap<>();
  private final Map<String, Double> slotsByRegion = new LinkedHashMap<>();

  private record Place(ServerState server, long hash, double slots) {}

  private record Scored(ServerState server, double score) {}

  /** Prepares the servers of one service that may get requests. */
  Placement(List<ServerState> servers) {
    for (ServerState server : servers) {
      double weight = server.entry().slots();
      placesByRegion
          .computeIfAbsent(server.region(), unused -> new ArrayList<>())
          .add(new Place(server, Hashing.hash(server.entry().identifier()), weight));
      slotsByRegion.merge(server.region(), weight, Double::sum);
    }
  }

  /** Returns the servers to consider for an object, the preferred one first. */
  List<ServerState> candidates(long object, String callerRegion, Predicate<String> allowedRegion) {
    List<String> regions = placesByRegion.keySet().stream().filter(allowedRegion).toList();
    if (regions.isEmpty()) {
      return List.of();
    }
    String first = region(object, callerRegion, regions);
    List<ServerState> candidates = new ArrayList<>();
    addBest(candidates, first, object, CANDIDATES_IN_REGION);
    if (!first.equals(callerRegion) && regions.contains(callerRegion)) {
      addBest(candidates, callerRegion, object, CANDIDATES_ELSEWHERE);
    }
    for (String region : regions) {
      if (!region.equals(first) && !region.equals(callerRegion)) {
        addBest(candidates, region, object, CANDIDATES_ELSEWHERE);
      }
    }
    return candidates;
  }

  /** Returns the region in which an object of a caller is placed. */
  private String region(long object, String callerRegion, List<String> regions) {
    double total = regions.stream().mapToDouble(this::slotsIn).sum();
    double own = regions.contains(callerRegion) ? slotsIn(callerRegion) : 0;
    double kept = Math.min(1, own * regions.size() / total);
    long callerHash = Hashing.hash(callerRegion);
    if (Hashing.uniform(object, callerHash) < kept) {
      return callerRegion;
    }
    String best = regions.get(0);
    double bestScore = Double.MAX_VALUE;
    for (String region : regions) {
      double spare = slotsIn(region) - total / regions.size();
      if (region.equals(callerRegion) || spare <= 0) {
        continue;
      }
      double score = Hashing.score(object ^ callerHash, Hashing.hash(region), spare);
      if (score < bestScore) {
        bestScore = score;
        best = region;
      }
    }
    return best;
  }

  private double slotsIn(String region) {
    return slotsByRegion.getOrDefault(region, 0.0);
  }

  private void addBest(List<ServerState> target, String region, long object, int count) {
    List<Scored> scored = new ArrayList<>();
    for (Place place : placesByRegion.getOrDefault(region, List.of())) {
      scored.add(new Scored(place.server(), Hashing.score(object, place.hash(), place.slots())));
    }
    scored.sort(Comparator.comparingDouble(Scored::score));
    for (int index = 0; index < Math.min(count, scored.size()); index++) {
      target.add(scored.get(index).server());
    }
  }
}
