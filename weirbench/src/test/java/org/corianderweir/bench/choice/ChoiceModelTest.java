package org.corianderweir.bench.choice;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ChoiceModel}. */
public class ChoiceModelTest {
  private static final double DURATION_MILLISECONDS = 6_000;

  @DataProvider
  public Object[][] ways() {
    Object[][] rows = new Object[ChoiceStrategy.values().length][1];
    for (ChoiceStrategy strategy : ChoiceStrategy.values()) {
      rows[strategy.ordinal()][0] = strategy;
    }
    return rows;
  }

  @Test(dataProvider = "ways")
  public void sameSeedGivesSameStatistics(ChoiceStrategy strategy) {
    assertEquals(statistics(strategy, 5), statistics(strategy, 5));
  }

  @Test
  public void homeInstanceNeverSendsToFullServer() {
    assertEquals(run(ChoiceStrategy.FORWARDING, 5).shed, 0);
  }

  private static List<Object> statistics(ChoiceStrategy strategy, long seed) {
    ChoiceStatistics statistics = run(strategy, seed);
    return List.of(
        statistics.requests, statistics.shed, statistics.refused, statistics.percentile(99));
  }

  private static ChoiceStatistics run(ChoiceStrategy strategy, long seed) {
    return new ChoiceModel(strategy, ChoiceScenario.HEALTHY, 3, 3, 3, DURATION_MILLISECONDS, seed)
        .run(0.8);
  }
}
