package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;

import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs generated histories: the limit holds under all faults, and each broken variant is detected.
 */
public class LimitHistoryTest {
  private static final int SECONDS = 60;
  private static final int SEEDS = 60;

  @DataProvider
  public Object[][] limits() {
    return new Object[][] {
      {new Allowance(200, 9)}, {new Allowance(300, 100)}, {new Allowance(20, 4)}
    };
  }

  @DataProvider
  public Object[][] variants() {
    return new Object[][] {
      {BrokenVariant.LENDER_DOES_NOT_DEDUCT},
      {BrokenVariant.EXPIRY_FROM_ARRIVAL},
      {BrokenVariant.NEW_HOLDER_STARTS_FULL},
      {BrokenVariant.NO_CONFIRMATION_TIMEOUT},
      {BrokenVariant.DUPLICATE_GRANT_COUNTS}
    };
  }

  @Test(dataProvider = "limits")
  public void admitsNoExcessUnderFaults(Allowance limit) {
    StringBuilder excess = new StringBuilder();
    for (long seed = 0; seed < SEEDS; seed++) {
      WindowChecker checker = run(seed, BrokenVariant.NONE, limit);
      if (!checker.isWithinLimit()) {
        excess.append("seed ").append(seed).append(": ").append(checker.excess()).append("; ");
      }
    }
    assertEquals(excess.toString(), "");
  }

  @Test(dataProvider = "variants")
  public void catchesBrokenVariants(BrokenVariant variant) {
    boolean caught =
        LongStream.range(0, SEEDS)
            .anyMatch(seed -> !run(seed, variant, new Allowance(200, 90)).isWithinLimit());
    assertEquals(caught, true);
  }

  @Test
  public void usesTheWholeLimitWithoutFaults() {
    WindowChecker checker =
        new LimitHistory(1, BrokenVariant.NONE, new Allowance(200, 50), false).run(SECONDS);
    assertEquals(
        checker.admittedCount() > 200 * SECONDS * 0.95,
        true,
        "admitted " + checker.admittedCount());
  }

  private static WindowChecker run(long seed, BrokenVariant variant, Allowance limit) {
    return new LimitHistory(seed, variant, limit, true).run(SECONDS);
  }
}
