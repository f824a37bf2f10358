package org.corianderweir.bench.choice;

import java.util.SplittableRandom;

/**
 * A simulated backend server that runs as many requests at the same time as it has slots and
 * refuses all others.
 */
final class ModelServer {
  private static final double COLD_MILLISECONDS = 5_000;
  private static final double COLD_FACTOR = 4;
  private static final double SLOW_FACTOR = 10;
  private static final double FAILURE_RESPONSE_MILLISECONDS = 0.2;

  final int index;
  final int slots;
  final boolean faulty;
  private final ChoiceScenario scenario;
  int inFlight;
  int reportedLoad = -1;

  ModelServer(int index, int slots, ChoiceScenario scenario) {
    this.index = index;
    this.slots = slots;
    this.faulty = index == 0;
    this.scenario = scenario;
  }

  boolean failsFast() {
    return faulty && scenario == ChoiceScenario.ONE_FAILS_FAST;
  }

  /** Starts a request if a slot is free and returns whether it did. */
  boolean tryBegin() {
    if (inFlight >= slots) {
      return false;
    }
    inFlight++;
    return true;
  }

  /**
   * Draws the service time of a request from an exponential distribution with the given mean,
   * changed by the fault of the server.
   */
  double serviceMilliseconds(
      double meanMilliseconds, double nowMilliseconds, SplittableRandom random) {
    if (failsFast()) {
      return FAILURE_RESPONSE_MILLISECONDS;
    }
    double factor = 1;
    if (faulty && scenario == ChoiceScenario.ONE_SLOW) {
      factor = SLOW_FACTOR;
    }
    if (faulty && scenario == ChoiceScenario.ONE_COLD && nowMilliseconds < COLD_MILLISECONDS) {
      factor = COLD_FACTOR;
    }
    return -meanMilliseconds * factor * Math.log(1 - random.nextDouble());
  }

  /** Returns the number of requests in flight that the server reports. */
  int reportLoad() {
    return faulty && scenario == ChoiceScenario.REPORTS_LIE ? 0 : inFlight;
  }
}
