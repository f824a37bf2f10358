package org.corianderweir.logic.steering;

import java.util.List;

/**
 * Moves the weights of one entry instance towards the desired weights of its configuration, never
 * faster than the cap. Pure functions.
 *
 * <p>The weights of the whole fleet are the mean of the instances' weights, weighted by their
 * traffic. As no instance moves faster than the cap, the mean doesn't either, no matter which
 * instances are on hold and when each of them receives a change. So instances can go on hold
 * without coordination: a hold only delays an instance, which afterwards continues at the rate of
 * the cap and never changes its weights abruptly.
 */
public final class WeightTransition {
  /** The largest time that one step of the weights accounts for, even if more has elapsed. */
  public static final double MAXIMUM_STEP_SECONDS = 1;

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private WeightTransition() {}

  /**
   * Returns the largest share that may move in a step.
   *
   * @param capPerSecond largest share that may move in a second
   * @param elapsedNanoseconds monotonic time since the previous step
   */
  public static double movableShare(double capPerSecond, long elapsedNanoseconds) {
    double seconds = Math.max(0, elapsedNanoseconds) / NANOSECONDS_PER_SECOND;
    return capPerSecond * Math.min(MAXIMUM_STEP_SECONDS, seconds);
  }

  /**
   * Returns the weights after a step.
   *
   * @param cells cells, in the order of all the arrays
   * @param current weights in force, with a sum of 1
   * @param desired desired weights of the configuration
   * @param conditions condition of each cell
   * @param movableShare largest share that may move
   */
  public static double[] step(
      List<Cell> cells,
      double[] current,
      double[] desired,
      CellCondition[] conditions,
      double movableShare) {
    double[] target = Spillover.redirect(cells, desired, conditions);
    double[] gains = new double[current.length];
    double[] losses = new double[current.length];
    for (int index = 0; index < current.length; index++) {
      double difference = target[index] - current[index];
      boolean mayGain = conditions[index] == CellCondition.READY;
      gains[index] = mayGain ? Math.max(0, difference) : 0;
      losses[index] = Math.max(0, -difference);
    }
    double moved = Math.min(movableShare, Math.min(sum(gains), sum(losses)));
    if (moved <= 0) {
      return current;
    }
    double[] next = current.clone();
    addGains(next, gains, moved / sum(gains));
    subtractLosses(next, losses, conditions, moved);
    return next;
  }

  /**
   * Subtracts the moved share from dead cells first, then from full cells, then from the others in
   * proportion to their losses.
   */
  private static void subtractLosses(
      double[] weights, double[] losses, CellCondition[] conditions, double moved) {
    double remaining = subtractLossesFrom(weights, losses, conditions, CellCondition.DEAD, moved);
    remaining = subtractLossesFrom(weights, losses, conditions, CellCondition.FULL, remaining);
    double total = 0;
    for (int index = 0; index < losses.length; index++) {
      total += conditions[index].losesShare() ? 0 : losses[index];
    }
    for (int index = 0; total > 0 && index < losses.length; index++) {
      double lost = conditions[index].losesShare() ? 0 : losses[index] * remaining / total;
      weights[index] = Math.max(0, weights[index] - lost);
    }
  }

  private static double subtractLossesFrom(
      double[] weights,
      double[] losses,
      CellCondition[] conditions,
      CellCondition condition,
      double moved) {
    double total = 0;
    for (int index = 0; index < losses.length; index++) {
      total += conditions[index] == condition ? losses[index] : 0;
    }
    double taken = Math.min(moved, total);
    for (int index = 0; total > 0 && index < losses.length; index++) {
      double lost = conditions[index] == condition ? losses[index] * taken / total : 0;
      weights[index] = Math.max(0, weights[index] - lost);
    }
    return moved - taken;
  }

  private static void addGains(double[] weights, double[] gains, double factor) {
    for (int index = 0; index < weights.length; index++) {
      weights[index] += gains[index] * factor;
    }
  }

  private static double sum(double[] values) {
    double total = 0;
    for (double value : values) {
      total += value;
    }
    return total;
  }
}
