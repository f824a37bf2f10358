package org.corianderweir.logic.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server by the power of two choices (Mitzenmacher, 2001) on the requests in
 * flight from this entry instance, weighted by the server's average latency.
 */
public final class ServerSelection {
  private ServerSelection() {}

  /**
   * A backend server that can be chosen.
   *
   * @param server the server, in a type that the calling code chooses
   * @param slots number of requests that it can run at the same time
   * @param inFlight requests in flight from this entry instance
   * @param health health observed from the outcomes of its requests
   */
  public record Candidate<T>(T server, int slots, int inFlight, ServerHealth health) {}

  /**
   * Chooses one of the candidates; returns empty if none is available as far as this entry instance
   * knows. Ejections are ignored when more than half of the candidates are ejected, so that faulty
   * measurements cannot take a whole zone out of service.
   */
  public static <T> Optional<Candidate<T>> choose(
      List<Candidate<T>> candidates, RandomGenerator random, long nowNanoseconds) {
    List<Candidate<T>> healthy = new ArrayList<>();
    for (Candidate<T> candidate : candidates) {
      if (!candidate.health().isEjected(nowNanoseconds)) {
        healthy.add(candidate);
      }
    }
    boolean tooManyEjected = 2 * healthy.size() < candidates.size();
    List<Candidate<T>> available = new ArrayList<>();
    for (Candidate<T> candidate : tooManyEjected ? candidates : healthy) {
      if (isAvailable(candidate, nowNanoseconds)) {
        available.add(candidate);
      }
    }
    if (available.isEmpty()) {
      return Optional.empty();
    }
    Candidate<T> first = available.get(random.nextInt(available.size()));
    Candidate<T> second = available.get(random.nextInt(available.size()));
    boolean firstIsBetter = cost(first, nowNanoseconds) <= cost(second, nowNanoseconds);
    return Optional.of(firstIsBetter ? first : second);
  }

  private static boolean isAvailable(Candidate<?> candidate, long nowNanoseconds) {
    double allowed =
        Math.max(1, candidate.slots() * candidate.health().slowStartRatio(nowNanoseconds));
    return candidate.inFlight() < allowed && !candidate.health().isOverloaded(nowNanoseconds);
  }

  private static double cost(Candidate<?> candidate, long nowNanoseconds) {
    double latency = Math.max(1, candidate.health().averageLatencyNanoseconds(nowNanoseconds));
    return (candidate.inFlight() + 1) * latency / candidate.slots();
  }
}
