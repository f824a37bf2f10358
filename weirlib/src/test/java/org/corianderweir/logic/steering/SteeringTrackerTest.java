package org.corianderweir.logic.steering;

import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks in simulations of a fleet of entry instances that the shares of the whole fleet never move
 * faster than the cap and end at the selector's shares.
 */
public class SteeringTrackerTest {
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final double SETTLED_TOLERANCE = 1e-6;
  private static final int SEED_COUNT = 6;

  @DataProvider
  public static Object[][] seeds() {
    return IntStream.range(0, SEED_COUNT)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void theFleetNeverMovesFasterThanTheCap(int seed) {
    SteeringSimulation simulation =
        new SteeringSimulation(seed, SteeringSimulation.Movement.RATE_LIMITED);
    double excess = simulation.largestExcess();
    assertTrue(excess <= ROUNDING_TOLERANCE, "seed " + seed + ": " + excess + " above the cap");
  }

  @Test(dataProvider = "seeds")
  public void theFleetSettlesWhereTheSelectorSays(int seed) {
    SteeringSimulation simulation =
        new SteeringSimulation(seed, SteeringSimulation.Movement.RATE_LIMITED);
    simulation.largestExcess();
    double distance = simulation.distanceAfterQuietRounds();
    assertTrue(distance < SETTLED_TOLERANCE, "seed " + seed + ": " + distance + " away");
  }

  @DataProvider
  public static Object[][] brokenMovements() {
    return new Object[][] {
      {SteeringSimulation.Movement.JUMPS_AFTER_HOLD}, {SteeringSimulation.Movement.JUMPS_ALWAYS},
    };
  }

  @Test(dataProvider = "brokenMovements")
  public void brokenMovementsAreCaught(SteeringSimulation.Movement broken) {
    boolean caught =
        IntStream.range(0, SEED_COUNT)
            .anyMatch(
                seed -> new SteeringSimulation(seed, broken).largestExcess() > ROUNDING_TOLERANCE);
    assertTrue(caught);
  }
}
