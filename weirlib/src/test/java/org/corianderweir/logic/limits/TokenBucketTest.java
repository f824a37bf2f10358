package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link TokenBucket}. */
public class TokenBucketTest {
  private static final long SECOND_NANOSECONDS = 1_000_000_000L;

  @DataProvider
  public Object[][] elapsedTimes() {
    return new Object[][] {
      {0, 2.0},
      {SECOND_NANOSECONDS / 2, 7.0},
      {SECOND_NANOSECONDS, 10.0},
      {-SECOND_NANOSECONDS, 2.0}
    };
  }

  @Test(dataProvider = "elapsedTimes")
  public void refillsWithTimeUpToCapacity(long elapsed, double expected) {
    TokenBucket bucket = new TokenBucket(10, 10, 2, 0);
    assertEquals(bucket.available(elapsed), expected);
  }

  @Test
  public void refusesWhenTokensAreExhausted() {
    TokenBucket bucket = new TokenBucket(10, 10, 1, 0);
    bucket.tryConsume(1, 0);
    assertEquals(bucket.tryConsume(1, 0), false);
  }
}
