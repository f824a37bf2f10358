package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SliceDivision} and {@link SlotLayout}: slices add up to the limit. */
public class SliceDivisionTest {
  @DataProvider
  public Object[][] limits() {
    return new Object[][] {
      {new Allowance(100, 1), 6, 3},
      {new Allowance(0.5, 5), 6, 3},
      {new Allowance(1000, 17), 6, 3},
      {new Allowance(7, 100), 1, 1},
      {new Allowance(100_000, 20_000), 40, 68}
    };
  }

  @Test(dataProvider = "limits")
  public void slicesAddUpToTheLimit(Allowance limit, int zones, int slotsPerZone) {
    SlotLayout layout = layout(zones, slotsPerZone);
    Allowance sum = Allowance.NONE;
    for (String zone : layout.zones()) {
      for (int slot = 0; slot < slotsPerZone; slot++) {
        sum = sum.plus(layout.slice("organisation/zafu", limit, zone, slot));
      }
    }
    assertEquals(new Allowance(Math.round(sum.rate() * 1e6) / 1e6, sum.capacity()), limit);
  }

  /** A burst of five tokens was rounded up to one token for each of 18 slots: 18 in all. */
  @Test
  public void smallBurstsAreNotRoundedUp() {
    SlotLayout layout = layout(6, 3);
    double total =
        layout.zones().stream()
            .mapToDouble(zone -> layout.slice("small", new Allowance(1, 5), zone, 2).capacity())
            .sum();
    assertEquals(total <= 5, true);
  }

  private static SlotLayout layout(int zones, int slotsPerZone) {
    return new SlotLayout(
        java.util.stream.IntStream.range(0, zones).mapToObj(zone -> "zone-" + zone).toList(),
        slotsPerZone);
  }
}
