package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertTrue;

import org.corianderweir.logic.traffic.SharedReportsSimulation.Result;
import org.corianderweir.logic.traffic.SharedReportsSimulation.Sharing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the choice of servers with shared reports, in {@link SharedReportsSimulation}. */
public class SharedReportsTest {
  private static final int SEED_COUNT = 3;

  /** The objects decide how much is warm; 314 cold requests a second use all slots. */
  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {"warm objects", 300.0, 1_000, true},
      {"warm objects, near saturation", 400.0, 1_000, true},
      {"cold objects, near saturation", 300.0, 3_000, true},
      {"all servers alike", 150.0, 20_000, false},
      {"all servers alike, near saturation", 200.0, 20_000, false}
    };
  }

  /**
   * All instances of a zone see the same reports. If they chose the same server for it, the loads
   * of the servers would differ more than without sharing, and more requests would meet a full
   * queue. That was so while a server without a recent report counted as idle.
   */
  @Test(dataProvider = "loads")
  public void instancesThatSeeTheSameReportsDoNotChooseTheSameServer(
      String name, double requestsPerSecond, int objectCount, boolean sticky) {
    Result own = play(Sharing.OWN, requestsPerSecond, objectCount, sticky);
    Result shared = play(Sharing.ZONE, requestsPerSecond, objectCount, sticky);
    String figures = name + "\n  own    " + own + "\n  shared " + shared;
    assertTrue(shared.loadVariance() <= 1.05 * own.loadVariance(), figures);
    assertTrue(shared.rejected <= own.rejected, figures);
    assertTrue(shared.credit() >= 0.99 * own.credit(), figures);
  }

  private static Result play(
      Sharing sharing, double requestsPerSecond, int objectCount, boolean sticky) {
    Result sum = new Result();
    for (int seed = 0; seed < SEED_COUNT; seed++) {
      sum.add(
          new SharedReportsSimulation(sharing, requestsPerSecond, objectCount, sticky, seed).run());
    }
    return sum;
  }
}
