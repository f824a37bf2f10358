package org.corianderweir.bench.choice;

import java.util.SplittableRandom;

/** A backend server of the model: a few slots, refuses what is above them. */
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

  /** Takes a request if a slot is free. */
  boolean tryBegin() {
    if (inFlight >= slots) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Returns how long a request takes; the mean is given, the times are exponential. */
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

  /** Returns what the server says of its load. */
  int reportLoad() {
    return faulty && scenario == ChoiceScenario.REPORTS_LIE ? 0 : inFlight;
  }
}
