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

  /** Whether a candidate can be chosen, or the reason why not. */
  public enum Verdict {
    /** It can be chosen. */
    AVAILABLE("it may get the request"),
    /** Its requests failed. */
    EJECTED("requests to it failed a short time ago"),
    /** It refused a request. */
    OVERLOADED("it refused a request a moment ago"),
    /** It is in its slow start, and its share of the slots is in use. */
    COLD("it is cold, and the slots that it gets at first are in use by this instance"),
    /** Its slots are in use. */
    FULL("its slots are in use by this instance");

    private final String reason;

    Verdict(String reason) {
      this.reason = reason;
    }

    /** Returns the reason for people. */
    public String reason() {
      return reason;
    }
  }

  /**
   * Returns a verdict for each candidate. Ejections are ignored when more than half of the
   * candidates are ejected, so that faulty measurements cannot take a whole zone out of service.
   */
  public static <T> List<Verdict> verdicts(List<Candidate<T>> candidates, long nowNanoseconds) {
    int ejectedCount = 0;
    for (Candidate<T> candidate : candidates) {
      ejectedCount += candidate.health().isEjected(nowNanoseconds) ? 1 : 0;
    }
    boolean tooManyEjected = 2 * ejectedCount > candidates.size();
    List<Verdict> verdicts = new ArrayList<>(candidates.size());
    for (Candidate<T> candidate : candidates) {
      verdicts.add(
          !tooManyEjected && candidate.health().isEjected(nowNanoseconds)
              ? Verdict.EJECTED
              : verdict(candidate, nowNanoseconds));
    }
    return verdicts;
  }

  /**
   * Chooses one of the candidates; returns empty if none is available as far as this entry instance
   * knows.
   */
  public static <T> Optional<Candidate<T>> choose(
      List<Candidate<T>> candidates, RandomGenerator random, long nowNanoseconds) {
    List<Verdict> verdicts = verdicts(candidates, nowNanoseconds);
    List<Candidate<T>> available = new ArrayList<>();
    for (int index = 0; index < candidates.size(); index++) {
      if (verdicts.get(index) == Verdict.AVAILABLE) {
        available.add(candidates.get(index));
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

  private static Verdict verdict(Candidate<?> candidate, long nowNanoseconds) {
    double slowStartRatio = candidate.health().slowStartRatio(nowNanoseconds);
    if (candidate.inFlight() >= Math.max(1, candidate.slots() * slowStartRatio)) {
      return slowStartRatio < 1 ? Verdict.COLD : Verdict.FULL;
    }
    return candidate.health().isOverloaded(nowNanoseconds) ? Verdict.OVERLOADED : Verdict.AVAILABLE;
  }

  private static double cost(Candidate<?> candidate, long nowNanoseconds) {
    double latency = Math.max(1, candidate.health().averageLatencyNanoseconds(nowNanoseconds));
    return (candidate.inFlight() + 1) * latency / candidate.slots();
  }
}
