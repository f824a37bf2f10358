package org.corianderweir.bench.choice;

import java.util.SplittableRandom;

/** A backend server of the model: a few slots, refuses what is above them. */
final class ModelServer {
  private static final double COLD_MILLISECONDS = 5_000;
  private static final double COLD_FACTOR = 4;
  private static final double SLOW_FACTOR = 10;
  private static final double FAILING_MILLISECONDS = 0.2;

  final int index;
  final int slots;
  final boolean odd;
  private final ChoiceScenario scenario;
  int running;
  int reported = -1;

  ModelServer(int index, int slots, ChoiceScenario scenario) {
    this.index = index;
    this.slots = slots;
    this.odd = index == 0;
    this.scenario = scenario;
  }

  boolean failsFast() {
    return odd && scenario == ChoiceScenario.ONE_FAILS_FAST;
  }

  /** Takes a request if a slot is free. */
  boolean begin() {
    if (running >= slots) {
      return false;
    }
    running++;
    return true;
  }

  /** Returns how long a request takes; the mean is given, the times are exponential. */
  double serviceMilliseconds(double mean, double now, SplittableRandom random) {
    if (failsFast()) {
      return FAILING_MILLISECONDS;
    }
    double factor = 1;
    if (odd && scenario == ChoiceScenario.ONE_SLOW) {
      factor = SLOW_FACTOR;
    }
    if (odd && scenario == ChoiceScenario.ONE_COLD && now < COLD_MILLISECONDS) {
      factor = COLD_FACTOR;
    }
    return -mean * factor * Math.log(1 - random.nextDouble());
  }

  /** Returns what the server says of its load. */
  int report() {
    return odd && scenario == ChoiceScenario.REPORTS_LIE ? 0 : running;
  }
}
