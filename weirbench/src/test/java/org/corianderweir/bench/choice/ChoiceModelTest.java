package org.corianderweir.bench.choice;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ChoiceModel}. */
public class ChoiceModelTest {
  private static final double LENGTH = 6_000;

  @DataProvider
  public Object[][] ways() {
    Object[][] ways = new Object[ChoiceWay.values().length][1];
    for (ChoiceWay way : ChoiceWay.values()) {
      ways[way.ordinal()][0] = way;
    }
    return ways;
  }

  @Test(dataProvider = "ways")
  public void sameSeedGivesSameFigures(ChoiceWay way) {
    assertEquals(figures(way, 5), figures(way, 5));
  }

  @Test
  public void homeNeverSendsToFullServer() {
    assertEquals(run(ChoiceWay.FORWARDING, 5).shed, 0);
  }

  private static List<Object> figures(ChoiceWay way, long seed) {
    ChoiceFigures figures = run(way, seed);
    return List.of(figures.requests, figures.shed, figures.refused, figures.percentile(99));
  }

  private static ChoiceFigures run(ChoiceWay way, long seed) {
    return new ChoiceModel(way, ChoiceScenario.HEALTHY, 3, 3, 3, LENGTH, seed).run(0.8);
  }
}
