package org.corianderweir.logic.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server by the power of two choices (Mitzenmacher, 2001) on requests in flight
 * from here, weighed by the time that the server lately took.
 */
public final class ServerSelection {
  private ServerSelection() {}

  /**
   * What is known of a candidate.
   *
   * @param server the server, whatever the caller knows it by
   * @param slots requests that it runs at the same time
   * @param inFlight requests in flight from this entry instance
   * @param health what its outcomes were
   */
  public record Candidate<T>(T server, int slots, int inFlight, ServerHealth health) {}

  /**
   * Chooses one of the candidates, or none if each is full as far as is known here. Servers are
   * ejected only while most of the candidates are not: lost measurements can't empty a zone.
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
