package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The load of a run.
 *
 * @param seed seed of the schedule
 * @param duration how long requests arrive
 * @param loadFactor factor that multiplies the demand of open routes and, outside surges, of all
 *     organisations
 * @param surges periods in which an organisation has another demand
 * @param singleZone availability zone that all requests with a key come from; if empty, they come
 *     from the zones of their organisation's home region
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
   * A period in which an organisation has another demand.
   *
   * @param organisation name of the organisation
   * @param from begin, as time since the start of the load
   * @param to end, as time since the start of the load
   * @param rateFactor demand as a multiple of the organisation's rate
   */
  public record Surge(String organisation, Duration from, Duration to, double rateFactor) {}
}
