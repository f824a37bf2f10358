package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * How much load there is.
 *
 * @param seed seed of the schedule
 * @param duration how long requests arrive
 * @param loadFactor all demand is multiplied by this
 * @param surges times at which an organisation asks for more
 * @param singleZone zone that every keyed request comes from; empty means each organisation's
 *     region
 */
public record LoadPlan(
    long seed,
    Duration duration,
    double loadFactor,
    List<Surge> surges,
    Optional<String> singleZone) {
  /** Copies the list. */
  public LoadPlan {
    surges = List.copyOf(surges);
  }

  /**
   * A time at which an organisation's demand is another.
   *
   * @param organisation name of the organisation
   * @param from when it begins, since the start of the load
   * @param to when it ends
   * @param rateFactor demand as a multiple of the organisation's rate
   */
  public record Surge(String organisation, Duration from, Duration to, double rateFactor) {}
}
