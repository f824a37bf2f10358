package org.corianderweir.logic.steering;

import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Drives fleets of entry instances through generated histories and holds the cap over all. */
public class SteeringTrackerTest {
  private static final double ROUNDING = 1e-9;
  private static final double SETTLED = 1e-6;
  private static final int SEEDS = 6;

  @DataProvider
  public static Object[][] seeds() {
    return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void theFleetNeverMovesFasterThanTheCap(int seed) {
    FleetHistory history = new FleetHistory(seed, FleetHistory.Movement.FOLLOWS);
    double excess = history.largestExcess();
    assertTrue(excess <= ROUNDING, "seed " + seed + ": " + excess + " above the cap");
  }

  @Test(dataProvider = "seeds")
  public void theFleetSettlesWhereTheSelectorSays(int seed) {
    FleetHistory history = new FleetHistory(seed, FleetHistory.Movement.FOLLOWS);
    history.largestExcess();
    double distance = history.distanceAfterQuiet();
    assertTrue(distance < SETTLED, "seed " + seed + ": " + distance + " away");
  }

  @DataProvider
  public static Object[][] brokenMovements() {
    return new Object[][] {
      {FleetHistory.Movement.CATCHES_UP}, {FleetHistory.Movement.ADOPTS},
    };
  }

  @Test(dataProvider = "brokenMovements")
  public void brokenMovementsAreCaught(FleetHistory.Movement broken) {
    boolean caught =
        IntStream.range(0, SEEDS)
            .anyMatch(seed -> new FleetHistory(seed, broken).largestExcess() > ROUNDING);
    assertTrue(caught);
  }
}
