package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link AdmissionDeadline}. */
public class AdmissionDeadlineTest {
  @DataProvider
  public Object[][] deadlines() {
    return new Object[][] {
      {1_400L, 1_000L, 1_300L},
      {1_000L, 1_000L, 1_000L},
      {900L, 1_000L, 1_000L},
      {Long.MIN_VALUE + 100, Long.MAX_VALUE - 299, Long.MIN_VALUE}
    };
  }

  @Test(dataProvider = "deadlines")
  public void reservesQuarterOfRemainingTime(long deadline, long now, long expected) {
    assertEquals(AdmissionDeadline.of(deadline, now), expected);
  }
}
